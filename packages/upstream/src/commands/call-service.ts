import {finished} from 'node:stream';
import type {OutgoingHttpHeaders} from 'node:http';
import type {Address, SilenceLimits} from '@gentianlift/types';
import type {CallFailure} from '../outcome.js';
import {createAnswerDelivery} from '../wire/deliver-answer.js';
import type {Chunk, Delivery} from '../wire/delivery.js';
import {
	exchange, type Answer, type ExchangeContext, type ExchangeFailure,
} from '../wire/exchange.js';
import {getEndToEndHeaders} from '../wire/headers.js';
import {isRefusal, readError} from '../wire/refusal.js';

/** A call to an application service. */
export type ServiceCall = {
	address: Address;
	method: string;
	path: string;
	headers: OutgoingHttpHeaders;
	body?: Uint8Array | string;
	/** Aborting closes the connection; leave it out for a call that must run to its end. */
	signal?: AbortSignal;
};

/** How a service's answer ended. */
export type ServiceOutcome = {kind: 'finished'} | ExchangeFailure;

/** A service's answer under way, of any status. */
export type ServiceAnswer = {
	kind: 'answered';
	status: number;
	/** Without the headers that concern one connection only. */
	headers: OutgoingHttpHeaders;
	/** Pieces of the body; ends when `outcome` is known, and throws nothing. */
	chunks: AsyncIterable<Chunk>;
	outcome: Promise<ServiceOutcome>;
};

const connectBody = async (answer: Answer, delivery: Delivery): Promise<ServiceOutcome> => new Promise(resolve => {
	const {response, silence} = answer;
	response.on('data', (piece: Uint8Array) => {
		silence.touch();
		delivery.push(piece, 0);
	});
	finished(response, error => {
		answer.finish();
		delivery.end();
		const failure: ExchangeFailure = answer.getFailure() ?? {kind: 'reset', reason: 'mid-answer'};
		resolve(error ? failure : {kind: 'finished'});
	});
});

/** Calls a service: resolves once it starts to answer, or with why it didn't. Never sends a call twice, and never throws. */
export const callService = async (context: ExchangeContext, limits: SilenceLimits, call: ServiceCall): Promise<ServiceAnswer | CallFailure> => {
	const answer = await exchange(context, call, limits.service);
	if (answer.kind !== 'answered') {
		return answer;
	}

	const {response} = answer;
	if (isRefusal(response)) {
		return readError(answer);
	}

	const delivery = createAnswerDelivery(answer);
	const outcome = connectBody(answer, delivery);
	return {
		kind: 'answered', status: response.statusCode ?? 0, headers: getEndToEndHeaders(response.headers), chunks: delivery.chunks, outcome,
	};
};
