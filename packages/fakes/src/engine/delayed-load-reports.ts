import type {EngineLoadReport, Milliseconds} from '@gentianlift/types';
import type {Clock} from '@gentianlift/clock';

/** Periodic load reports that are published with a delay. */
export type DelayedLoadReports = {
	/** Returns the latest published report. */
	read: () => EngineLoadReport;
	close: () => void;
};

const sampleInterval: Milliseconds = 100;

/** Samples `getReport` at a fixed interval and publishes each report after `delay`. */
export const createDelayedLoadReports = (clock: Clock, delay: Milliseconds, getReport: () => EngineLoadReport): DelayedLoadReports => {
	const {every} = clock;
	const pendingReports: EngineLoadReport[] = [getReport()];
	const close = every(sampleInterval, () => {
		pendingReports.push(getReport());
		while (pendingReports.length > 1 && (pendingReports[1]?.at ?? 0) <= clock.now() - delay) {
			pendingReports.shift();
		}
	});
	return {
		read: () => pendingReports[0] ?? getReport(),
		close,
	};
};
