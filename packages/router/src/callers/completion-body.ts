import type {ClassifiedRequest, Milliseconds} from '@gentianlift/types';

/** Finished generation, for a response that isn't streamed. */
export type FinishedGeneration = {
	text: string;
	tokens: number;
	finishReason: string | undefined;
	promptTokens: number | undefined;
};

const millisecondsPerSecond = 1000;

/** Creates the OpenAI-compatible body of a response that isn't streamed. */
export const createCompletionBody = (request: ClassifiedRequest, model: string, generation: FinishedGeneration, now: Milliseconds) => {
	const {text, tokens, finishReason} = generation;
	const estimate = request.work.kind === 'generation' ? request.work.promptTokens : 0;
	const promptTokens = generation.promptTokens ?? estimate;
	return {
		id: request.id,
		object: 'chat.completion',
		created: Math.floor(now / millisecondsPerSecond),
		model,
		choices: [{index: 0, message: {role: 'assistant', content: text}, finish_reason: finishReason ?? 'stop'}],
		usage: {prompt_tokens: promptTokens, completion_tokens: tokens, total_tokens: promptTokens + tokens},
	};
};
