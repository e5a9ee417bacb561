import type {ServerResponse} from 'node:http';
import type {Exchange} from '../listener.js';
import {getAnswer, type Answer, type Prompt} from './answer.js';
import {createAnswerStream, type AnswerStream} from './answer-stream.js';
import type {Generation} from './batch.js';

/** Body of a request for a generation. */
export type Body = Prompt & {stream?: boolean; resume?: {text: string; tokens: number}};

/** A generation with the connection that it answers on. */
export type Live = {
	generation: Generation;
	answer: Answer;
	/** Tokens of an earlier part that the caller has. */
	from: number;
	response: ServerResponse;
	/** True once nothing more is sent on the connection. */
	silenced: boolean;
};

/** What a generation needs of its engine. */
export type LiveOptions = {
	id: string;
	body: Body;
	exchange: Exchange;
	order: number;
	meanTokens: number;
	countCached: (prefix: string[]) => number;
	onStart: (prefix: string[]) => void;
	/** False if the token isn't to be sent, as after a crash. */
	onToken: (tag: string) => boolean;
	onEnd: () => void;
};

/** Reads a header of a request; empty if it is absent. */
export const getHeader = (exchange: Exchange, name: string): string => {
	const value = exchange.request.headers[name];
	return typeof value === 'string' ? value : '';
};

/** What the parts of one generation share. */
type Parts = LiveOptions & {answer: Answer; prefix: string[]; from: number; cachedTokens: number};

const getParts = (options: LiveOptions): Parts => {
	const answer = getAnswer(options.body, options.meanTokens);
	const prefix = getHeader(options.exchange, 'x-prefix').split(',').filter(chunk => chunk !== '');
	const cachedShare = prefix.length === 0 ? 0 : options.countCached(prefix) / prefix.length;
	return {
		...options, answer, prefix, from: options.body.resume?.tokens ?? 0, cachedTokens: Math.floor(answer.promptTokens * cachedShare),
	};
};

const createStream = ({id, body, answer, from, cachedTokens, exchange}: Parts): AnswerStream => createAnswerStream({
	id, model: body.model, answer, from, cachedTokens, response: exchange.response, stream: body.stream ?? false,
});

const createGeneration = (parts: Parts, isSilenced: () => boolean): Generation => {
	const {answer, from, cachedTokens} = parts;
	let stream: AnswerStream | undefined;
	return {
		id: parts.id,
		priority: Number(getHeader(parts.exchange, 'x-priority')) || 0,
		order: parts.order,
		prefillTokens: answer.promptTokens - cachedTokens + from,
		cacheTokens: answer.promptTokens + answer.length,
		index: from,
		length: answer.length,
		readyAt: 0,
		canSend: () => stream?.canSend() ?? false,
		onStart() {
			parts.onStart(parts.prefix);
			stream = createStream(parts);
		},
		onToken(index) {
			if (parts.onToken(answer.tag) && !isSilenced()) {
				stream?.writeToken(index);
			}
		},
		onEnd() {
			parts.onEnd();
			if (!isSilenced()) {
				stream?.writeEnd();
			}
		},
	};
};

/** Creates a generation for the batch. */
export const createLive = (options: LiveOptions): Live => {
	const parts = getParts(options);
	const live: Live = {
		generation: createGeneration(parts, () => live.silenced),
		answer: parts.answer,
		from: parts.from,
		response: options.exchange.response,
		silenced: false,
	};
	return live;
};
