import {createHash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {findCustomerByKey} from '@gentianlift/config';
import {createFailure} from '@gentianlift/errors';
import {classifyRequest, getFingerprint} from '@gentianlift/policy';
import {appendSlotToRequestId} from '@gentianlift/claims';
import type {
	ClassifiedRequest, Configuration, Customer, Work,
} from '@gentianlift/types';
import type {HostContext} from '../host-context.js';
import type {Exchange} from './exchange.js';
import {getApiKey, getDeclaredClass, getIdempotencyKey} from './read-headers.js';

/** Authenticated customer, and the configuration that applies to its request. */
export type Caller = {customer: Customer; configuration: Configuration};

/** Returns the customer that the API key belongs to; throws `not-configured`, `missing-key` or `wrong-key`. */
export const authenticate = (context: HostContext, request: IncomingMessage): Caller => {
	const version = context.getConfiguration();
	if (version === undefined) {
		throw createFailure('not-configured');
	}

	const customer = findCustomerByKey(version.configuration, getApiKey(request));
	if (customer === undefined) {
		throw createFailure('wrong-key');
	}

	return {customer, configuration: version.configuration};
};

/** Properties of a request that its classification is based on. */
export type IncomingRequest = {
	method: string;
	/** Path that the rules are matched against; for a service call, the path at the service. */
	path: string;
	body: Uint8Array;
	/** Text from which the fingerprint is computed, which recognises repeated requests that have other ids. */
	prompt: string;
	work: Work;
};

const getTargetName = (work: Work): string => work.kind === 'generation' ? work.model : work.service;

const getDigest = ({method, path, body, work}: IncomingRequest): string =>
	createHash('sha256').update(`${getTargetName(work)} ${method} ${path}\n`).update(body).digest('hex');

/** Classifies a request, opens its account and stores its id and classification in the exchange; throws the failure of a refused request. */
export const admitRequest = (context: HostContext, {customer, configuration}: Caller, exchange: Exchange, incoming: IncomingRequest): ClassifiedRequest => {
	// The stop may have been forced while the body was being received.
	if (context.inFlightRequests.abortController.signal.aborted) {
		throw createFailure('forced-stop', {ran: 'not-run'});
	}

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
	const needsClaim = !request.idempotent && request.idempotencyKey !== undefined;
	const identified = needsClaim ? {...request, id: appendSlotToRequestId(request.id, {customer: customer.id, key: request.idempotencyKey ?? ''})} : request;
	exchange.id = identified.id;
	exchange.classified = identified;
	context.accounts.open(identified);
	return identified;
};

/** Checks the host's overload limit and acquires the customer's limits; throws the failure of a refused request. Call the returned function with the tokens used when the request ends. */
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
