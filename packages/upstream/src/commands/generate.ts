import type {OutgoingHttpHeaders} from 'node:http';
import type {Cancel} from '@gentianlift/clock';
import type {Address, Milliseconds, SilenceTimeouts} from '@gentianlift/types';
import type {CallFailure} from '../call-failure.js';
import {waitForBodyEnd} from '../wire/body-end.js';
import {createResponseStream} from '../wire/response-stream.js';
import type {StreamChunk, ChunkStream} from '../wire/chunk-stream.js';
import {createEventReader, type EventReader, type GenerationEnd} from '../wire/event-reader.js';
import {
	exchange, type UpstreamResponse, type ExchangeContext, type ExchangeFailure,
} from '../wire/exchange.js';
import {readError} from '../wire/error-response.js';
import {cancelGeneration} from './cancel-generation.js';

/** A generation to run at an engine. */
export type GenerationCall = {
	address: Address;
	/** JSON body, as created by `getEngineBody`. */
	body: Uint8Array | string;
	/** Must include `x-request-id` and `x-priority`. */
	headers: OutgoingHttpHeaders;
	/** Aborting cancels the generation at the engine. */
	signal?: AbortSignal;
};

/** How a generation ended after it had started. */
export type GenerationOutcome
	= | ({kind: 'finished'} & GenerationEnd)
		/** The response ended properly but without the terminal event. */
		| {kind: 'incomplete'}
		| ExchangeFailure;

/** A generation whose output is being streamed. */
export type Generation = {
	kind: 'started';
	/** Complete events, byte for byte as the engine sent them. Ends when `outcome` is known, and never throws. */
	chunks: AsyncIterable<StreamChunk>;
	outcome: Promise<GenerationOutcome>;
	/** Returns the text received so far; once `chunks` has ended, all of it has been delivered. */
	getText: () => string;
	/** Returns the number of tokens received so far. */
	getTokens: () => number;
};

/** The parts that receive the response of one generation. */
type GenerationStream = {reader: EventReader; stream: ChunkStream; limits: SilenceTimeouts};

/** Maximum size of one event of a generation. */
const maxEventBytes = 1_048_576;
/** Time that the response may take to end after the terminal event; only then can the connection be reused. */
const closeTimeout: Milliseconds = 1000;

const streamGeneration = async (context: ExchangeContext, response: UpstreamResponse, generationStream: GenerationStream): Promise<GenerationOutcome> => {
	const {message, silenceTimer} = response;
	const {reader, stream, limits} = generationStream;
	let cancelCloseTimer: Cancel | undefined;
	return new Promise(resolve => {
		const finish = (outcome: GenerationOutcome): void => {
			response.release();
			stream.end();
			resolve(outcome);
		};

		const finishAtEnd = async (): Promise<void> => {
			const failure = await waitForBodyEnd(response, 'mid-answer');
			cancelCloseTimer?.();
			finish(failure ?? {kind: 'incomplete'});
		};

		const onTerminalEvent = (): void => {
			cancelCloseTimer = context.clock.after(closeTimeout, () => {
				response.abort({kind: 'reset', reason: 'open-after-end'});
			});
			finish({kind: 'finished', ...reader.getEnd()});
		};

		message.on('data', (piece: Uint8Array) => {
			silenceTimer.recordActivity();
			if (cancelCloseTimer !== undefined) {
				return;
			}

			const events = reader.read(piece);
			stream.push(events.bytes, events.tokens);
			silenceTimer.setLimit(reader.getTokens() > 0 ? limits.betweenTokens : limits.firstToken);
			if (events.isFinished) {
				onTerminalEvent();
			} else if (reader.getPartialBytes() > maxEventBytes) {
				response.abort({kind: 'reset', reason: 'event-too-long'});
			}
		});
		void finishAtEnd();
	});
};

/** Cancels a generation after a silence timeout: an engine that has not noticed the closed connection would otherwise keep generating. */
const cancelIfSilent = (context: ExchangeContext, {address, headers}: GenerationCall, outcome: {kind: string}): void => {
	const id = headers['x-request-id'];
	if (outcome.kind === 'silent' && typeof id === 'string') {
		void cancelGeneration(context, address, id);
	}
};

const cancelWhenSilent = async (context: ExchangeContext, call: GenerationCall, outcome: Promise<GenerationOutcome>): Promise<void> => {
	cancelIfSilent(context, call, await outcome);
};

/** Runs a generation. Resolves when the head of the response arrives, or with the reason why there is none. Never throws. */
export const generate = async (context: ExchangeContext, limits: SilenceTimeouts, call: GenerationCall): Promise<Generation | CallFailure> => {
	const request = {...call, method: 'POST', path: '/v1/chat/completions'};
	const response = await exchange(context, request, limits.firstToken);
	if (response.kind !== 'answered') {
		cancelIfSilent(context, call, response);
		return response;
	}

	if (response.message.statusCode !== 200) {
		return readError(response);
	}

	const reader = createEventReader();
	const stream = createResponseStream(response);
	const outcome = streamGeneration(context, response, {reader, stream, limits});
	void cancelWhenSilent(context, call, outcome);
	return {
		kind: 'started', chunks: stream.chunks, outcome, getText: reader.getText, getTokens: reader.getTokens,
	};
};
