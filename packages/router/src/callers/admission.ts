import {createHash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {findCustomer} from '@gentianlift/config';
import {createFailure} from '@gentianlift/errors';
import {classifyRequest, getFingerprint} from '@gentianlift/policy';
import {createBookingId} from '@gentianlift/claims';
import type {
	ClassifiedRequest, Configuration, Customer, Work,
} from '@gentianlift/types';
import type {HostParts} from '../parts.js';
import type {Exchange} from './exchange.js';
import {getApiKey, getDeclaredClass, getIdempotencyKey} from './read-headers.js';

/** A caller whose key is known, and the configuration that its request is judged by. */
export type Caller = {customer: Customer; configuration: Configuration};

/** Finds the caller's customer; throws `not-configured`, `missing-key` or `wrong-key`. */
export const authenticate = (parts: HostParts, request: IncomingMessage): Caller => {
	const version = parts.getConfiguration();
	if (version === undefined) {
		throw createFailure('not-configured');
	}

	const customer = findCustomer(version.configuration, getApiKey(request));
	if (customer === undefined) {
		throw createFailure('wrong-key');
	}

	return {customer, configuration: version.configuration};
};

/** What a request brings to its classification. */
export type Arrival = {
	method: string;
	/** Path that the rules match: of a call, the path at the service. */
	path: string;
	body: Uint8Array;
	/** Text by which resends under other ids are recognised. */
	prompt: string;
	work: Work;
};

const getName = (work: Work): string => work.kind === 'generation' ? work.model : work.service;

const getDigest = ({method, path, body, work}: Arrival): string =>
	createHash('sha256').update(`${getName(work)} ${method} ${path}\n`).update(body).digest('hex');

/** Classifies a request, opens its account and notes both in the exchange; throws the refusal's error kind. */
export const admitRequest = (parts: HostParts, {customer, configuration}: Caller, exchange: Exchange, arrival: Arrival): ClassifiedRequest => {
	const declaredClass = getDeclaredClass(exchange.request);
	const idempotencyKey = getIdempotencyKey(exchange.request);
	const classification = classifyRequest(configuration, {
		id: exchange.id,
		customer,
		arrivedAt: parts.clock.now(),
		method: arrival.method,
		path: arrival.path,
		work: arrival.work,
		digest: getDigest(arrival),
		fingerprint: getFingerprint(getName(arrival.work), arrival.prompt),
		...(declaredClass !== undefined && {declaredClass}),
		...(idempotencyKey !== undefined && {idempotencyKey}),
	});
	if (classification.kind === 'refused') {
		throw createFailure(classification.error, classification.detail === undefined ? {} : {detail: classification.detail});
	}

	const {request} = classification;
	const isBooking = !request.idempotent && request.idempotencyKey !== undefined;
	const named = isBooking ? {...request, id: createBookingId(request.id, {customer: customer.id, key: request.idempotencyKey ?? ''})} : request;
	exchange.id = named.id;
	exchange.classified = named;
	parts.accounts.open(named);
	return named;
};

/** Takes the customer's limits and the host's own into account; throws the refusal's error kind. */
export const takeLimits = async (parts: HostParts, customer: Customer, request: ClassifiedRequest): Promise<(tokens: number) => void> => {
	const rankLimit = parts.getRankLimit();
	if (rankLimit !== undefined && request.rank > rankLimit) {
		throw createFailure('host-overloaded', {retryAfter: 1000});
	}

	const decision = await parts.limits.take(customer, request);
	if (decision.kind === 'refused') {
		throw createFailure(decision.error, {retryAfter: decision.retryAfter});
	}

	return decision.release;
};
