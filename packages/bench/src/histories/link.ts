import type {Clock, Random} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** Simulated state of a host's process: whether it is alive, and until when it is paused on the monotonic clock. */
export type ProcessState = {isAlive: boolean; pausedUntil: Milliseconds};

/** Outcome of a call over a link. */
export type LinkOutcome<Answer>
	= | {kind: 'answered'; answer: Answer}
		/** The call was refused and not executed. */
		| {kind: 'unreachable'; reason: string}
		/** No reply arrived in time; the call may have been executed, may still be executed, or may be lost. */
		| {kind: 'unknown'; reason: string};

/** Probabilities, from 0 to 1, of the faults that a call on a link can meet. */
export type LinkFaults = {unreachable: number; lost: number; late: number; duplicated: number};

/** Options of a link. */
export type LinkOptions = {clock: Clock; random: Random; processState: ProcessState; faults: () => LinkFaults; timeout: Milliseconds};

/** Makes a call that may be refused, lost, delayed or duplicated at random. A call in flight continues when its caller's process dies; its reply is then discarded. */
export type Link = <Answer>(run: () => Promise<Answer>, canDuplicate?: boolean) => Promise<LinkOutcome<Answer>>;

const maxUsualDelay: Milliseconds = 8;
const maxLateDelay: Milliseconds = 3000;

/** Waits until a host's process is running: resolves at once, after its pause, or never if the process is dead. */
export const waitUntilRunning = async (processState: ProcessState, clock: Clock): Promise<void> => {
	while (processState.isAlive && processState.pausedUntil > clock.monotonic()) {
		// eslint-disable-next-line no-await-in-loop -- The pause may be extended while it lasts.
		await clock.sleep(processState.pausedUntil - clock.monotonic());
	}

	if (!processState.isAlive) {
		await new Promise<never>(() => {
			// A dead process never continues.
		});
	}
};

/** Creates a link from a host to another process. */
export const createLink = ({
	clock, random, processState, faults, timeout,
}: LinkOptions): Link => {
	const getDelay = (): Milliseconds => random.next() < faults().late ? random.below(maxLateDelay) : random.below(maxUsualDelay);

	const deliver = async <Answer>(run: () => Promise<Answer>): Promise<Answer> => {
		await clock.sleep(getDelay());
		const answer = await run();
		await clock.sleep(getDelay());
		return answer;
	};

	const exchange = async <Answer>(run: () => Promise<Answer>): Promise<LinkOutcome<Answer>> => new Promise(resolve => {
		clock.after(timeout, () => {
			resolve({kind: 'unknown', reason: 'timeout'});
		});
		const isLost = random.next() < faults().lost;
		const isRequestLost = isLost && random.next() < 0.5;
		if (isRequestLost) {
			return;
		}

		void (async () => {
			const answer = await deliver(run);
			if (!isLost) {
				resolve({kind: 'answered', answer});
			}
		})();
	});

	return async (run, canDuplicate = false) => {
		await waitUntilRunning(processState, clock);
		if (random.next() < faults().unreachable) {
			return {kind: 'unreachable', reason: 'refused'};
		}

		if (canDuplicate && random.next() < faults().duplicated) {
			void deliver(run);
		}

		const outcome = await exchange(run);
		await waitUntilRunning(processState, clock);
		return outcome;
	};
};
