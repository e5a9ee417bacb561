import type {Milliseconds} from '@gentianlift/types';
import type {Clock} from './clock.js';

/** Answers to questions that were asked a moment ago, so that many who ask the same at once cost one answer. */
export type RecentAnswers<Answer> = {
	/** Returns the answer to a question; calls `ask` for it unless it was asked within the lifetime of answers. */
	get: (question: string, ask: () => Promise<Answer>) => Promise<Answer>;
};

type AskedQuestion<Answer> = {askedAt: Milliseconds; answer: Promise<Answer>};

/** Creates it without answers; they are reused for `lifetime` from when they were asked for. */
export const createRecentAnswers = <Answer>({monotonic}: Pick<Clock, 'monotonic'>, lifetime: Milliseconds): RecentAnswers<Answer> => {
	const asked = new Map<string, AskedQuestion<Answer>>();

	const removeOld = (): void => {
		for (const [question, {askedAt}] of asked) {
			if (monotonic() - askedAt >= lifetime) {
				asked.delete(question);
			}
		}
	};

	return {
		async get(question, ask) {
			removeOld();
			const recent = asked.get(question);
			if (recent !== undefined) {
				return recent.answer;
			}

			const answer = ask();
			asked.set(question, {askedAt: monotonic(), answer});
			return answer;
		},
	};
};
