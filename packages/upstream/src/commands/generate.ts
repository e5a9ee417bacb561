import {finished} from 'node:stream';
import type {OutgoingHttpHeaders} from 'node:http';
import type {Cancel} from '@gentianlift/clock';
import type {Address, Milliseconds, SilenceLimits} from '@gentianlift/types';
import type {CallFailure} from '../outcome.js';
import {createAnswerDelivery} from '../wire/deliver-answer.js';
import type {Chunk, Delivery} from '../wire/delivery.js';
import {createEventReader, type EventReader, type GenerationEnd} from '../wire/event-reader.js';
import {
	exchange, type Answer, type ExchangeContext, type ExchangeFailure,
} from '../wire/exchange.js';
import {readError} from '../wire/refusal.js';
import {cancelGeneration} from './cancel-generation.js';

/** A generation to run at an engine. */
export type GenerationCall = {
	address: Address;
	/** JSON body; see `getEngineBody`. */
	body: Uint8Array | string;
	/** Must hold `x-request-id` and `x-priority`. */
	headers: OutgoingHttpHeaders;
	/** Aborting cancels the generation at the engine. */
	signal?: AbortSignal;
};

/** How a generation that had started ended. */
export type GenerationOutcome
	= | ({kind: 'finished'} & GenerationEnd)
		/** The engine closed the connection in good order, but without the terminal event. */
		| {kind: 'incomplete'}
		| ExchangeFailure;

/** A generation under way. */
export type Generation = {
	kind: 'started';
	/** Whole events as the engine sent them; ends when `outcome` is known, and throws nothing. */
	chunks: AsyncIterable<Chunk>;
	outcome: Promise<GenerationOutcome>;
	/** Text received so far; all of it has been handed out once `chunks` ends. */
	getText: () => string;
	/** Tokens received so far. */
	getTokens: () => number;
};

type Wiring = {reader: EventReader; delivery: Delivery; limits: SilenceLimits};

/** Largest event of a generation. */
const maxEventBytes = 1_048_576;
/** Time for the connection to end in good order after the terminal event, so that it can be used again. */
const endTimeout: Milliseconds = 1000;

const getOutcome = (isFinished: boolean, error: unknown, answer: Answer, reader: EventReader): GenerationOutcome => {
	if (isFinished) {
		return {kind: 'finished', ...reader.getEnd()};
	}

	const failure = answer.getFailure();
	if (failure !== undefined) {
		return failure;
	}

	return error ? {kind: 'reset', reason: 'mid-answer'} : {kind: 'incomplete'};
};

const connectReader = async (context: ExchangeContext, answer: Answer, wiring: Wiring): Promise<GenerationOutcome> => {
	const {response, silence} = answer;
	const {reader, delivery, limits} = wiring;
	let cancelEnd: Cancel | undefined;
	return new Promise(resolve => {
		const settle = (error?: unknown): void => {
			cancelEnd?.();
			answer.finish();
			delivery.end();
			resolve(getOutcome(cancelEnd !== undefined, error, answer, reader));
		};

		const end = (): void => {
			cancelEnd = context.clock.after(endTimeout, () => {
				answer.abandon({kind: 'reset', reason: 'open-after-end'});
			});
			answer.finish();
			delivery.end();
			resolve(getOutcome(true, undefined, answer, reader));
		};

		response.on('data', (piece: Uint8Array) => {
			silence.touch();
			if (cancelEnd !== undefined) {
				return;
			}

			const events = reader.read(piece);
			delivery.push(events.bytes, events.tokens);
			silence.setLimit(reader.getTokens() > 0 ? limits.betweenTokens : limits.firstToken);
			if (events.isFinished) {
				end();
			} else if (reader.getPartialBytes() > maxEventBytes) {
				answer.abandon({kind: 'reset', reason: 'event-too-long'});
			}
		});
		finished(response, settle);
	});
};

/** An engine that lost track of the connection would go on generating for nobody. */
const cancelIfSilent = (context: ExchangeContext, {address, headers}: GenerationCall, outcome: {kind: string}): void => {
	const id = headers['x-request-id'];
	if (outcome.kind === 'silent' && typeof id === 'string') {
		void cancelGeneration(context, address, id);
	}
};

const cancelWhenSilent = async (context: ExchangeContext, call: GenerationCall, outcome: Promise<GenerationOutcome>): Promise<void> => {
	cancelIfSilent(context, call, await outcome);
};

/** Runs a generation: resolves once the engine starts to answer, or with why it didn't. Never throws. */
export const generate = async (context: ExchangeContext, limits: SilenceLimits, call: GenerationCall): Promise<Generation | CallFailure> => {
	const request = {...call, method: 'POST', path: '/v1/chat/completions'};
	const answer = await exchange(context, request, limits.firstToken);
	if (answer.kind !== 'answered') {
		cancelIfSilent(context, call, answer);
		return answer;
	}

	if (answer.response.statusCode !== 200) {
		return readError(answer);
	}

	const reader = createEventReader();
	const delivery = createAnswerDelivery(answer);
	const outcome = connectReader(context, answer, {reader, delivery, limits});
	void cancelWhenSilent(context, call, outcome);
	return {
		kind: 'started', chunks: delivery.chunks, outcome, getText: reader.getText, getTokens: reader.getTokens,
	};
};
