import type {
	ClassifiedRequest, ClassName, Configuration, Customer, Milliseconds, RequestClass, RequestId, Work,
} from '@gentianlift/types';
import {getDeadline, getTargetsAt} from './targets.js';

/** A request whose customer is authenticated and whose body has been read. */
export type IncomingRequest = {
	id: RequestId;
	customer: Customer;
	arrivedAt: Milliseconds;
	method: string;
	path: string;
	work: Work;
	/** Class that the caller requested. */
	declaredClass?: ClassName;
	idempotencyKey?: string;
	/** Digest of method, path and body in lower-case hexadecimal. */
	digest: string;
	/** Fingerprint of the prompt, see `getFingerprint`. */
	fingerprint: string;
};

/** A request with its class and targets, or the kind of error for the caller. */
export type Classification
	= | {kind: 'classified'; request: ClassifiedRequest}
		| {kind: 'refused'; error: 'unknown-class' | 'class-not-allowed' | 'unknown-model' | 'unknown-service' | 'key-missing'; detail?: string};

/** Determines the class, tier, targets and deadline of a request. */
export const classifyRequest = (configuration: Configuration, incoming: IncomingRequest): Classification => {
	const workError = getWorkError(configuration, incoming.work);
	if (workError !== undefined) {
		return {kind: 'refused', error: workError};
	}

	const {declaredClass} = incoming;
	const candidateClasses = configuration.rules.classes.filter(item => declaredClass === undefined || item.name === declaredClass);
	if (candidateClasses.length === 0) {
		return {kind: 'refused', error: 'unknown-class'};
	}

	const allowedClasses = getAllowedClasses(candidateClasses, incoming);
	const requestClass = allowedClasses.find(item => isMatch(item, incoming));
	if (requestClass === undefined) {
		return {kind: 'refused', error: 'class-not-allowed'};
	}

	if (!requestClass.idempotent && incoming.idempotencyKey === undefined) {
		return {kind: 'refused', error: 'key-missing'};
	}

	return {kind: 'classified', request: buildClassifiedRequest(configuration, requestClass, incoming)};
};

const getWorkError = ({inventory}: Configuration, work: Work): 'unknown-model' | 'unknown-service' | undefined => {
	switch (work.kind) {
		case 'generation': {
			const isKnown = inventory.models.some(model => model.name === work.model);
			return isKnown ? undefined : 'unknown-model';
		}

		case 'call': {
			const isKnown = inventory.services.some(service => service.name === work.service);
			return isKnown ? undefined : 'unknown-service';
		}
	}
};

const getAllowedClasses = (classes: readonly RequestClass[], {customer}: IncomingRequest): RequestClass[] =>
	customer.classes.flatMap(name => classes.filter(item => item.name === name));

const isMatch = ({match}: RequestClass, {work, method, path}: IncomingRequest): boolean => {
	const isModelMatch = match.models === undefined
		|| (work.kind === 'generation' && (match.models.includes(work.model) || match.models.includes(work.adapter ?? '')));
	const isServiceMatch = match.service === undefined || (work.kind === 'call' && match.service === work.service);
	const isMethodMatch = match.method === undefined || match.method.toUpperCase() === method.toUpperCase();
	const isPathMatch = match.pathPrefix === undefined || path.startsWith(match.pathPrefix);
	return isModelMatch && isServiceMatch && isMethodMatch && isPathMatch;
};

const buildClassifiedRequest = ({rules}: Configuration, requestClass: RequestClass, incoming: IncomingRequest): ClassifiedRequest => {
	const targets = getTargetsAt(requestClass, incoming.customer, incoming.arrivedAt);
	const request: ClassifiedRequest = {
		id: incoming.id,
		customer: incoming.customer.id,
		weight: incoming.customer.weight,
		className: requestClass.name,
		tier: requestClass.tier,
		rank: rules.tiers.findIndex(tier => tier.name === requestClass.tier),
		idempotent: requestClass.idempotent,
		arrivedAt: incoming.arrivedAt,
		targets,
		deadline: getDeadline(targets, incoming.work, incoming.arrivedAt),
		expectedTokens: requestClass.expectedTokens,
		work: incoming.work,
		digest: incoming.digest,
		fingerprint: incoming.fingerprint,
	};
	if (incoming.idempotencyKey !== undefined) {
		request.idempotencyKey = incoming.idempotencyKey;
	}

	return request;
};
