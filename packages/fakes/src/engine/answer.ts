import {createHash} from 'node:crypto';
import {createRandom} from '@gentianlift/clock';

/** Fields of a request body that determine the answer. */
export type Prompt = {
	model: string;
	messages: Array<{role: string; content: unknown}>;
	max_tokens?: number;
	max_completion_tokens?: number;
};

/** Deterministic answer of an engine to a prompt. */
export type Answer = {
	/** Prefix of each token, derived from a hash of the prompt. */
	word: string;
	/** Number of output tokens. */
	length: number;
	finishReason: 'stop' | 'length';
	promptTokens: number;
	/** Label from `#tag=` in the prompt, under which generated tokens are counted. */
	tag: string;
};

const bytesPerToken = 4;
const wordLength = 6;
const lengthPattern = /#tokens=(?<count>\d+)/v;
const tagPattern = /#tag=(?<tag>[\w\-]+)/v;

const getPromptText = (prompt: Prompt): string => prompt.messages
	.map(({content}) => typeof content === 'string' ? content : JSON.stringify(content))
	.join('\n');

/** Samples a length from an exponential distribution, seeded by the prompt's hash. */
const sampleLength = (digest: DataView, mean: number): number => {
	const random = createRandom(digest.getInt32(0));
	return Math.max(1, Math.round(-mean * Math.log(1 - random.next())));
};

/** Computes the answer to a prompt. `#tokens=N` in the prompt sets its length; otherwise the length is sampled with a seed derived from the prompt. */
export const computeAnswer = (prompt: Prompt, meanTokens: number): Answer => {
	const text = getPromptText(prompt);
	const digest = createHash('sha256').update(text).digest();
	const requestedLength = lengthPattern.exec(text)?.groups?.count;
	const fullLength = requestedLength === undefined ? sampleLength(new DataView(digest.buffer, digest.byteOffset), meanTokens) : Number(requestedLength);
	const limit = prompt.max_completion_tokens ?? prompt.max_tokens ?? Number.POSITIVE_INFINITY;
	return {
		word: digest.toString('hex').slice(0, wordLength),
		length: Math.min(fullLength, limit),
		finishReason: fullLength > limit ? 'length' : 'stop',
		promptTokens: Math.ceil(text.length / bytesPerToken),
		tag: tagPattern.exec(text)?.groups?.tag ?? 'none',
	};
};

/** Returns the token at an index of an answer. */
export const getToken = (answer: Pick<Answer, 'word'>, index: number): string => `${answer.word}.${index} `;

/** Returns the text of the first `count` tokens of an answer. */
export const getAnswerText = (answer: Pick<Answer, 'word'>, count: number): string =>
	Array.from({length: count}, (_, index) => getToken(answer, index)).join('');
