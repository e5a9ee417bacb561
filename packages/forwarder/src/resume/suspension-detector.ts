import type {Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** Detects that this process was suspended, or had no processor time, for a while. */
export type SuspensionDetector = {
	/** Whether the process is only now going on after a suspension, so that it may still read messages that arrived meanwhile. */
	hasJustResumed: () => boolean;
	stop: () => void;
};

const tickInterval: Milliseconds = 50;
/** Time between two ticks from which the process counts as suspended. */
const minSuspension: Milliseconds = 300;
/** Time after a suspension in which messages from before its end are read. */
const settlingTime: Milliseconds = 500;

/** Starts to watch the time between ticks. */
export const startSuspensionDetector = ({monotonic, every}: Clock): SuspensionDetector => {
	let lastTickAt = monotonic();
	let resumedAt = Number.NEGATIVE_INFINITY;
	const stop = every(tickInterval, () => {
		const now = monotonic();
		resumedAt = now - lastTickAt > minSuspension ? now : resumedAt;
		lastTickAt = now;
	});
	return {
		hasJustResumed() {
			const now = monotonic();
			return now - lastTickAt > minSuspension || now - resumedAt < settlingTime;
		},
		stop,
	};
};
