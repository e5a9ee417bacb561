import type {Cancel, Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** When dispatch passes over queued calls run: as soon as they are needed, within a bounded part of the processor time. */
export type DispatchSchedule = {
	/** Schedules a pass within `delay`, or as soon after as the pacing allows, if there is work. */
	request: (delay: Milliseconds) => void;
};

/** What is scheduled. */
export type DispatchScheduleOptions = {
	clock: Clock;
	/** Whether a pass has anything to do. */
	hasWork: () => boolean;
	/** Makes a pass. */
	dispatch: () => void;
};

/** Interval between dispatch passes while no load changes, as estimated backlogs shrink with time. */
export const dispatchInterval: Milliseconds = 15;
/** Minimum interval between two passes; each load report of another host requests a pass. */
const minDispatchInterval: Milliseconds = 4;
/** Minimum interval between two passes as a multiple of the last one's duration, which bounds the processor time spent on a long queue. */
const dispatchPauseFactor = 9;

/** Creates a schedule without passes. */
export const createDispatchSchedule = ({clock, hasWork, dispatch}: DispatchScheduleOptions): DispatchSchedule => {
	/** The next dispatch pass; undefined if none is scheduled. */
	let next: {at: Milliseconds; cancel: Cancel} | undefined;
	/** Earliest time of the next pass, by the pacing. */
	let earliest = Number.NEGATIVE_INFINITY;

	const run = (): void => {
		next = undefined;
		const startedAt = clock.monotonic();
		try {
			dispatch();
		} finally {
			const endedAt = clock.monotonic();
			earliest = endedAt + Math.max(minDispatchInterval, (endedAt - startedAt) * dispatchPauseFactor);
			request(dispatchInterval);
		}
	};

	const request = (delay: Milliseconds): void => {
		if (!hasWork() || (next !== undefined && next.at <= earliest)) {
			return;
		}

		const now = clock.monotonic();
		const at = Math.max(earliest, now + delay);
		if (next !== undefined && next.at <= at) {
			return;
		}

		next?.cancel();
		next = {at, cancel: clock.after(at - now, run)};
	};

	return {request};
};
