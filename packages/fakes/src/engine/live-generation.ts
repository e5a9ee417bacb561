import type {ServerResponse} from 'node:http';
import type {Exchange} from '../listener.js';
import {computeAnswer, type Answer, type Prompt} from './answer.js';
import {createAnswerStream, type AnswerStream} from './answer-stream.js';
import type {Generation} from './batch.js';

/** Request body of a generation; `resume` is the part of the answer that the caller already has. */
export type GenerationBody = Prompt & {stream?: boolean; resume?: {text: string; tokens: number}};

/** A generation in flight with the response that it is written to. */
export type LiveGeneration = {
	generation: Generation;
	answer: Answer;
	/** Tokens that the caller already received from an earlier attempt. */
	resumedTokens: number;
	response: ServerResponse;
	/** Whether nothing more is written to the response. */
	isSilenced: boolean;
};

/** Options of a generation in flight. */
export type LiveGenerationOptions = {
	id: string;
	body: GenerationBody;
	exchange: Exchange;
	/** Order of arrival. */
	sequence: number;
	meanTokens: number;
	/** Returns the number of leading chunks of a prefix that are cached. */
	countCached: (prefix: string[]) => number;
	onStart: (prefix: string[]) => void;
	/** Called for each token; returns false if the token must not be sent, as after a crash. */
	onToken: (tag: string) => boolean;
	onEnd: () => void;
};

/** Returns a header of a request; empty if it is absent. */
export const getHeader = (exchange: Exchange, name: string): string => {
	const value = exchange.request.headers[name];
	return typeof value === 'string' ? value : '';
};

/** Options of a generation with the values derived from its request. */
type GenerationContext = LiveGenerationOptions & {answer: Answer; prefix: string[]; resumedTokens: number; cachedTokens: number};

const createContext = (options: LiveGenerationOptions): GenerationContext => {
	const answer = computeAnswer(options.body, options.meanTokens);
	const prefix = getHeader(options.exchange, 'x-prefix').split(',').filter(chunk => chunk !== '');
	const cachedFraction = prefix.length === 0 ? 0 : options.countCached(prefix) / prefix.length;
	return {
		...options, answer, prefix, resumedTokens: options.body.resume?.tokens ?? 0, cachedTokens: Math.floor(answer.promptTokens * cachedFraction),
	};
};

const createStream = ({id, body, answer, resumedTokens, cachedTokens, exchange}: GenerationContext): AnswerStream => createAnswerStream({
	id, model: body.model, answer, resumedTokens, cachedTokens, response: exchange.response, stream: body.stream ?? false,
});

const createGeneration = (context: GenerationContext, isSilenced: () => boolean): Generation => {
	const {answer, resumedTokens, cachedTokens} = context;
	let stream: AnswerStream | undefined;
	return {
		id: context.id,
		priority: Number(getHeader(context.exchange, 'x-priority')) || 0,
		sequence: context.sequence,
		prefillTokens: answer.promptTokens - cachedTokens + resumedTokens,
		cacheTokens: answer.promptTokens + answer.length,
		nextIndex: resumedTokens,
		length: answer.length,
		prefillEndsAt: 0,
		canSend: () => stream?.canSend() ?? false,
		onStart() {
			context.onStart(context.prefix);
			stream = createStream(context);
		},
		onToken(index) {
			if (context.onToken(answer.tag) && !isSilenced()) {
				stream?.writeToken(index);
			}
		},
		onEnd() {
			context.onEnd();
			if (!isSilenced()) {
				stream?.writeEnd();
			}
		},
	};
};

/** Creates a generation that the batch can run, and the state of its response. */
export const createLiveGeneration = (options: LiveGenerationOptions): LiveGeneration => {
	const context = createContext(options);
	const live: LiveGeneration = {
		generation: createGeneration(context, () => live.isSilenced),
		answer: context.answer,
		resumedTokens: context.resumedTokens,
		response: options.exchange.response,
		isSilenced: false,
	};
	return live;
};
