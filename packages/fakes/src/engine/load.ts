import type {LoadReport, Milliseconds} from '@gentianlift/types';
import type {Clock} from '@gentianlift/clock';

/** Load reports that lag behind the truth. */
export type Reports = {
	read: () => LoadReport;
	close: () => void;
};

const interval: Milliseconds = 100;

/** Creates the reports of an engine, which takes one from `getReport` at each interval and shows it after `lag`. */
export const createReports = (clock: Clock, lag: Milliseconds, getReport: () => LoadReport): Reports => {
	const {every} = clock;
	const kept: LoadReport[] = [getReport()];
	const close = every(interval, () => {
		kept.push(getReport());
		while (kept.length > 1 && (kept[1]?.at ?? 0) <= clock.now() - lag) {
			kept.shift();
		}
	});
	return {
		read: () => kept[0] ?? getReport(),
		close,
	};
};
