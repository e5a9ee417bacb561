import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {getAnswerText, getToken, type Answer} from './answer.js';

/** Writer of an answer as it is generated. */
export type AnswerStream = {
	writeToken: (index: number) => void;
	writeEnd: () => void;
	/** Whether the receiver keeps up; false pauses the generation. */
	canSend: () => boolean;
};

/** Options of an answer's writer. */
export type AnswerStreamOptions = {
	id: string;
	model: string;
	answer: Answer;
	/** Tokens that the caller already received from an earlier attempt; not sent again. */
	resumedTokens: number;
	cachedTokens: number;
	response: ServerResponse;
};

/** Buffered output at which a generation is paused until its receiver catches up. */
const maxBufferedBytes = 65_536;
const eventSeparator = '\n\n';
const finalEvent = `data: [DONE]${eventSeparator}`;

const getUsage = ({answer, cachedTokens}: AnswerStreamOptions) => ({
	prompt_tokens: answer.promptTokens,
	completion_tokens: answer.length,
	total_tokens: answer.promptTokens + answer.length,
	prompt_tokens_details: {cached_tokens: cachedTokens},
});

const createEventStream = (options: AnswerStreamOptions): AnswerStream => {
	const {response, answer, id, model} = options;
	const chunkHead = `data: {"id":${JSON.stringify(id)},"object":"chat.completion.chunk","created":0,"model":${JSON.stringify(model)},"choices":[{"index":0,"delta":{"content":"`;
	const chunkTail = `"},"finish_reason":null}]}${eventSeparator}`;
	response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-cache', 'x-ran': 'ran'});
	response.flushHeaders();
	return {
		writeToken(index) {
			response.write(chunkHead + getToken(answer, index) + chunkTail);
		},
		writeEnd() {
			const choice = {index: 0, delta: {}, finish_reason: answer.finishReason};
			const lastChunk = {
				id, object: 'chat.completion.chunk', created: 0, model, choices: [choice], usage: getUsage(options),
			};
			response.end(`data: ${JSON.stringify(lastChunk)}${eventSeparator}${finalEvent}`);
		},
		canSend: () => response.writableLength < maxBufferedBytes,
	};
};

const createJsonAnswer = (options: AnswerStreamOptions): AnswerStream => ({
	writeToken: () => undefined,
	writeEnd() {
		const {response, answer, id, model, resumedTokens} = options;
		const content = getAnswerText(answer, answer.length).slice(getAnswerText(answer, resumedTokens).length);
		const choice = {index: 0, message: {role: 'assistant', content}, finish_reason: answer.finishReason};
		const body = JSON.stringify({
			id, object: 'chat.completion', created: 0, model, choices: [choice], usage: getUsage(options),
		});
		response.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body), 'x-ran': 'ran'});
		response.end(body);
	},
	canSend: () => true,
});

/** Creates the writer of an answer, either as an event stream or as a single JSON body. */
export const createAnswerStream = (options: AnswerStreamOptions & {stream: boolean}): AnswerStream =>
	options.stream ? createEventStream(options) : createJsonAnswer(options);
