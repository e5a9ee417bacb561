import {createHash} from 'node:crypto';
import {createRandom} from '@gentianlift/clock';

/** Part of a request body that decides the answer. */
export type Prompt = {
	model: string;
	messages: Array<{role: string; content: unknown}>;
	max_tokens?: number;
	max_completion_tokens?: number;
};

/** What an engine will answer to a prompt. */
export type Answer = {
	/** Same for the same prompt. */
	word: string;
	/** Output tokens. */
	length: number;
	finishReason: 'stop' | 'length';
	promptTokens: number;
	/** Label from `#tag=`, under which generated tokens are counted. */
	tag: string;
};

const bytesPerToken = 4;
const wordLength = 6;
const lengthPattern = /#tokens=(?<count>\d+)/v;
const tagPattern = /#tag=(?<tag>[\w\-]+)/v;

const getText = (prompt: Prompt): string => prompt.messages
	.map(({content}) => typeof content === 'string' ? content : JSON.stringify(content))
	.join('\n');

const drawLength = (digest: DataView, mean: number): number => {
	const random = createRandom(digest.getInt32(0));
	return Math.max(1, Math.round(-mean * Math.log(1 - random.next())));
};

/** Gets the answer to a prompt. `#tokens=N` in the prompt sets its length; else it is drawn by a seed from the prompt. */
export const getAnswer = (prompt: Prompt, meanTokens: number): Answer => {
	const text = getText(prompt);
	const digest = createHash('sha256').update(text).digest();
	const wanted = lengthPattern.exec(text)?.groups?.count;
	const full = wanted === undefined ? drawLength(new DataView(digest.buffer, digest.byteOffset), meanTokens) : Number(wanted);
	const limit = prompt.max_completion_tokens ?? prompt.max_tokens ?? Number.POSITIVE_INFINITY;
	return {
		word: digest.toString('hex').slice(0, wordLength),
		length: Math.min(full, limit),
		finishReason: full > limit ? 'length' : 'stop',
		promptTokens: Math.ceil(text.length / bytesPerToken),
		tag: tagPattern.exec(text)?.groups?.tag ?? 'none',
	};
};

/** Gets the token at an index of an answer. */
export const getToken = (answer: Pick<Answer, 'word'>, index: number): string => `${answer.word}.${index} `;

/** Gets the text of the first tokens of an answer. */
export const getAnswerText = (answer: Pick<Answer, 'word'>, count: number): string =>
	Array.from({length: count}, (_, index) => getToken(answer, index)).join('');
