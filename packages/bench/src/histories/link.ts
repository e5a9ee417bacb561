import type {Clock, Random} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** A host's place in time: whether its process lives, and until when it is paused. */
export type Life = {isAlive: boolean; pausedUntil: Milliseconds};

/** What became of a call over a link. */
export type LinkOutcome<Answer>
	= | {kind: 'answered'; answer: Answer}
		/** Nothing was carried out. */
		| {kind: 'unreachable'; reason: string}
		/** It was carried out, or will be, or not. */
		| {kind: 'unknown'; reason: string};

/** How calls fare on a link, as chances from 0 to 1. */
export type LinkFaults = {unreachable: number; lost: number; late: number; doubled: number};

/** What a link needs. */
export type LinkOptions = {clock: Clock; random: Random; life: Life; faults: () => LinkFaults; timeout: Milliseconds};

/** Makes calls that are lost, late or doubled by chance. A dead caller's calls stay under way, and their replies reach nobody. */
export type Link = <Answer>(run: () => Promise<Answer>, canDouble?: boolean) => Promise<LinkOutcome<Answer>>;

const quickDelay: Milliseconds = 8;
const lateDelay: Milliseconds = 3000;

/** Resolves when a host may go on: at once, after its pause, or never if it is dead. */
export const waitForLife = async (life: Life, clock: Clock): Promise<void> => {
	while (life.isAlive && life.pausedUntil > clock.monotonic()) {
		// eslint-disable-next-line no-await-in-loop -- A pause may be made longer.
		await clock.sleep(life.pausedUntil - clock.monotonic());
	}

	if (!life.isAlive) {
		await new Promise<never>(() => {
			// A dead process never goes on.
		});
	}
};

/** Creates the link of a host to another process. */
export const createLink = ({
	clock, random, life, faults, timeout,
}: LinkOptions): Link => {
	const getDelay = (): Milliseconds => random.next() < faults().late ? random.below(lateDelay) : random.below(quickDelay);

	const carry = async <Answer>(run: () => Promise<Answer>): Promise<Answer> => {
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
		const isLostBefore = isLost && random.next() < 0.5;
		if (isLostBefore) {
			return;
		}

		void (async () => {
			const answer = await carry(run);
			if (!isLost) {
				resolve({kind: 'answered', answer});
			}
		})();
	});

	return async (run, canDouble = false) => {
		await waitForLife(life, clock);
		if (random.next() < faults().unreachable) {
			return {kind: 'unreachable', reason: 'refused'};
		}

		if (canDouble && random.next() < faults().doubled) {
			void carry(run);
		}

		const outcome = await exchange(run);
		await waitForLife(life, clock);
		return outcome;
	};
};
