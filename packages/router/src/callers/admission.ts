import {createHash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {findCustomer} from '@gentianlift/config';
import {createFailure} from '@gentianlift/errors';
import {classifyRequest, getFingerprint} from '@gentianlift/policy';
import {createBookingId} from '@gentianlift/claims';
import type {
	ClassifiedRequest, Configuration, Customer, Work,
} from '@gentianlift/types';
import type {HostContext} from '../host-context.js';
import type {Exchange} from './exchange.js';
import {getApiKey, getDeclaredClass, getIdempotencyKey} from './read-headers.js';

/** A caller whose key is known, and the configuration that its request is judged by. */
export type Caller = {customer: Customer; configuration: Configuration};

/** Finds the caller's customer; throws `not-configured`, `missing-key` or `wrong-key`. */
export const authenticate = (context: HostContext, request: IncomingMessage): Caller => {
	const version = context.getConfiguration();
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
export type IncomingRequest = {
	method: string;
	/** Path that the rules match: of a call, the path at the service. */
	path: string;
	body: Uint8Array;
	/** Text by which resends under other ids are recognised. */
	prompt: string;
	work: Work;
};

const getTargetName = (work: Work): string => work.kind === 'generation' ? work.model : work.service;

const getDigest = ({method, path, body, work}: IncomingRequest): string =>
	createHash('sha256').update(`${getTargetName(work)} ${method} ${path}\n`).update(body).digest('hex');

/** Classifies a request, opens its account and notes both in the exchange; throws the refusal's error kind. */
export const admitRequest = (context: HostContext, {customer, configuration}: Caller, exchange: Exchange, incoming: IncomingRequest): ClassifiedRequest => {
	const declaredClass = getDeclaredClass(exchange.request);
	const idempotencyKey = getIdempotencyKey(exchange.request);
	const classification = classifyRequest(configuration, {
		id: exchange.id,
		customer,
		arrivedAt: context.clock.now(),
		method: incoming.method,
		path: incoming.path,
		work: incoming.work,
		digest: getDigest(incoming),
		fingerprint: getFingerprint(getTargetName(incoming.work), incoming.prompt),
		...(declaredClass !== undefined && {declaredClass}),
		...(idempotencyKey !== undefined && {idempotencyKey}),
	});
	if (classification.kind === 'refused') {
		throw createFailure(classification.error, classification.detail === undefined ? {} : {detail: classification.detail});
	}

	const {request} = classification;
	const isBooking = !request.idempotent && request.idempotencyKey !== undefined;
	const identified = isBooking ? {...request, id: createBookingId(request.id, {customer: customer.id, key: request.idempotencyKey ?? ''})} : request;
	exchange.id = identified.id;
	exchange.classified = identified;
	context.accounts.open(identified);
	return identified;
};

/** Takes the customer's limits and the host's own into account; throws the refusal's error kind. */
export const acquireLimits = async (context: HostContext, customer: Customer, request: ClassifiedRequest): Promise<(tokens: number) => void> => {
	const rankLimit = context.getRankLimit();
	if (rankLimit !== undefined && request.rank > rankLimit) {
		throw createFailure('host-overloaded', {retryAfter: 1000});
	}

	const decision = await context.limits.acquire(customer, request);
	if (decision.kind === 'refused') {
		throw createFailure(decision.error, {retryAfter: decision.retryAfter});
	}

	return decision.release;
};
