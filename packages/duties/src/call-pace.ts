import type {Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** Spaces the calls of a host, so that those of all holders stay under what the operators' service accepts. */
export type CallPace = {
	/** Resolves when the next call may be made. */
	wait: () => Promise<void>;
};

/** Part of the accepted calls that the holders of all duties use together. */
const usedPart = 0.5;

const millisecondsPerSecond = 1000;

/** Creates the pace of a host's calls; `countHolders` returns the number of hosts that may hold duties at once. */
export const createCallPace = (clock: Pick<Clock, 'monotonic' | 'sleep'>, {callsPerSecond, countHolders}: {callsPerSecond: number; countHolders: () => number}): CallPace => {
	let nextAt = Number.NEGATIVE_INFINITY;
	const getInterval = (): Milliseconds => millisecondsPerSecond * Math.max(1, countHolders()) / (callsPerSecond * usedPart);

	return {
		async wait() {
			const now = clock.monotonic();
			const callAt = Math.max(now, nextAt);
			nextAt = callAt + getInterval();
			if (callAt > now) {
				await clock.sleep(callAt - now);
			}
		},
	};
};
