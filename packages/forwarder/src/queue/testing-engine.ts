import type {Clock} from '@gentianlift/clock';
import {createPromptCacheEstimate, type Prompt} from '@gentianlift/routing';

/** Simulated model engine for tests, which prefills prompts in order of arrival, whatever their rank. */
export type TestEngine = {
	/** Queues a prompt; calls `onFirstToken` with the number of tokens that were not cached, once they are prefilled. */
	receive: (prompt: Prompt, onFirstToken: (uncachedTokens: number) => void) => void;
	/** Returns the prompt tokens that are still to be prefilled. */
	getUnreadTokens: () => number;
};

type QueuedPrompt = {uncachedTokens: number; remainingTokens: number; onFirstToken: (uncachedTokens: number) => void};

/** Prompt tokens that a simulated engine prefills per millisecond. */
export const enginePrefillRate = 38;
/** Maximum prompt tokens that a simulated engine prefills in one step. */
const maxStepTokens = 512;
/** Prompt tokens that a simulated engine keeps cached. */
export const engineCacheTokens = 480_000;

/** Takes the tokens of the next step from the queue in order of arrival; returns their number. */
const takeStepTokens = (queue: readonly QueuedPrompt[]): number => {
	let stepTokens = 0;
	for (const queued of queue) {
		const tokens = Math.min(queued.remainingTokens, maxStepTokens - stepTokens);
		queued.remainingTokens -= tokens;
		stepTokens += tokens;
	}

	return stepTokens;
};

/** Creates an idle engine with an empty prompt cache. */
export const createTestEngine = (clock: Clock): TestEngine => {
	const cache = createPromptCacheEstimate(engineCacheTokens);
	let queue: QueuedPrompt[] = [];
	let unreadTokens = 0;
	let isBusy = false;

	const finishStep = (stepTokens: number): void => {
		unreadTokens -= stepTokens;
		const finished = queue.filter(({remainingTokens}) => remainingTokens === 0);
		queue = queue.filter(({remainingTokens}) => remainingTokens > 0);
		for (const {uncachedTokens, onFirstToken} of finished) {
			onFirstToken(uncachedTokens);
		}

		startStep();
	};

	const startStep = (): void => {
		isBusy = queue.length > 0;
		if (!isBusy) {
			return;
		}

		const stepTokens = takeStepTokens(queue);
		clock.after(stepTokens / enginePrefillRate, () => {
			finishStep(stepTokens);
		});
	};

	return {
		receive(prompt, onFirstToken) {
			// Prompts that arrived earlier are prefilled, and thus cached, before this one.
			const uncachedTokens = Math.max(1, prompt.inputTokens - cache.getCachedTokens(prompt).all);
			cache.add(prompt);
			queue.push({uncachedTokens, remainingTokens: uncachedTokens, onFirstToken});
			unreadTokens += uncachedTokens;
			if (!isBusy) {
				startStep();
			}
		},
		getUnreadTokens: () => unreadTokens,
	};
};
