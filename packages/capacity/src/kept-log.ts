import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Milliseconds} from '@gentianlift/types';

/** Why orders were left as they are: they meet the need; no more can be had (`short`); or less isn't ordered for lack of knowledge. */
export type KeptReason = 'met' | 'short' | 'demand-unknown' | 'stale-reports';

/** Log of decisions to order nothing. */
export type KeptLog = {
	/** Logs that a service's orders were kept if the reason has changed, at most once a minimum interval. */
	record: (service: string, reason: KeptReason, inputs: Record<string, number>) => void;
};

/** Minimum interval between two lines of a service. */
const minInterval: Milliseconds = 5000;

/** Creates a log without lines. */
export const createKeptLog = ({clock, logger}: {clock: Clock; logger: Logger}): KeptLog => {
	const last = new Map<string, {reason: KeptReason; at: Milliseconds}>();
	return {
		record(service, reason, inputs) {
			const now = clock.monotonic();
			const known = last.get(service);
			if (known !== undefined && (known.reason === reason || now - known.at < minInterval)) {
				return;
			}

			last.set(service, {reason, at: now});
			logger.info('capacity-kept', {service, reason, ...inputs});
		},
	};
};
