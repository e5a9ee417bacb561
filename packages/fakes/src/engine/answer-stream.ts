import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {getAnswerText, getToken, type Answer} from './answer.js';

/** Writes an answer as it is generated. */
export type AnswerStream = {
	writeToken: (index: number) => void;
	writeEnd: () => void;
	canSend: () => boolean;
};

/** What an answer's writer has to know. */
export type StreamOptions = {
	id: string;
	model: string;
	answer: Answer;
	/** Tokens of an earlier part that the caller has. */
	from: number;
	cachedTokens: number;
	response: ServerResponse;
};

/** Bytes that may wait for a slow receiver before its generation pauses. */
const highWaterMark = 65_536;
const separator = '\n\n';
const finalEvent = `data: [DONE]${separator}`;

const getUsage = ({answer, cachedTokens}: StreamOptions) => ({
	prompt_tokens: answer.promptTokens,
	completion_tokens: answer.length,
	total_tokens: answer.promptTokens + answer.length,
	prompt_tokens_details: {cached_tokens: cachedTokens},
});

const createEventStream = (options: StreamOptions): AnswerStream => {
	const {response, answer, id, model} = options;
	const head = `data: {"id":${JSON.stringify(id)},"object":"chat.completion.chunk","created":0,"model":${JSON.stringify(model)},"choices":[{"index":0,"delta":{"content":"`;
	const tail = `"},"finish_reason":null}]}${separator}`;
	response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-cache', 'x-ran': 'ran'});
	response.flushHeaders();
	return {
		writeToken(index) {
			response.write(head + getToken(answer, index) + tail);
		},
		writeEnd() {
			const choice = {index: 0, delta: {}, finish_reason: answer.finishReason};
			const last = {
				id, object: 'chat.completion.chunk', created: 0, model, choices: [choice], usage: getUsage(options),
			};
			response.end(`data: ${JSON.stringify(last)}${separator}${finalEvent}`);
		},
		canSend: () => response.writableLength < highWaterMark,
	};
};

const createWholeAnswer = (options: StreamOptions): AnswerStream => ({
	writeToken: () => undefined,
	writeEnd() {
		const {response, answer, id, model, from} = options;
		const content = getAnswerText(answer, answer.length).slice(getAnswerText(answer, from).length);
		const choice = {index: 0, message: {role: 'assistant', content}, finish_reason: answer.finishReason};
		const body = JSON.stringify({
			id, object: 'chat.completion', created: 0, model, choices: [choice], usage: getUsage(options),
		});
		response.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body), 'x-ran': 'ran'});
		response.end(body);
	},
	canSend: () => true,
});

/** Creates the writer of an answer: an event stream, or one JSON body. */
export const createAnswerStream = (options: StreamOptions & {stream: boolean}): AnswerStream =>
	options.stream ? createEventStream(options) : createWholeAnswer(options);
