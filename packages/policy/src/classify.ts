import type {
	ClassifiedRequest, ClassName, Configuration, Customer, Milliseconds, RequestClass, RequestId, Work,
} from '@gentianlift/types';
import {getDeadline, getTargetsAt} from './targets.js';

/** What is known of a request once its customer is authenticated and its body is read. */
export type Facts = {
	id: RequestId;
	customer: Customer;
	arrivedAt: Milliseconds;
	method: string;
	path: string;
	work: Work;
	/** Class that the caller named. */
	declaredClass?: ClassName;
	idempotencyKey?: string;
	/** Digest of method, path and body, in lower-case hex. */
	digest: string;
	/** See `getFingerprint`. */
	fingerprint: string;
};

/** A request's class and targets, or the error kind for the caller. */
export type Classification
	= | {kind: 'classified'; request: ClassifiedRequest}
		| {kind: 'refused'; error: 'unknown-class' | 'class-not-allowed' | 'unknown-model' | 'unknown-service' | 'key-missing'; detail?: string};

/** Gets the class, tier, targets and deadline of a request. */
export const classifyRequest = (configuration: Configuration, facts: Facts): Classification => {
	const unknown = getUnknownWork(configuration, facts.work);
	if (unknown !== undefined) {
		return {kind: 'refused', error: unknown};
	}

	const {declaredClass} = facts;
	const classes = configuration.rules.classes.filter(item => declaredClass === undefined || item.name === declaredClass);
	if (classes.length === 0) {
		return {kind: 'refused', error: 'unknown-class'};
	}

	const allowed = getAllowed(classes, facts);
	const found = allowed.find(item => isMatch(item, facts));
	if (found === undefined) {
		return {kind: 'refused', error: 'class-not-allowed'};
	}

	if (!found.idempotent && facts.idempotencyKey === undefined) {
		return {kind: 'refused', error: 'key-missing'};
	}

	return {kind: 'classified', request: getClassified(configuration, found, facts)};
};

const getUnknownWork = ({inventory}: Configuration, work: Work): 'unknown-model' | 'unknown-service' | undefined => {
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

const getAllowed = (classes: readonly RequestClass[], {customer}: Facts): RequestClass[] =>
	customer.classes.flatMap(name => classes.filter(item => item.name === name));

const isMatch = ({match}: RequestClass, {work, method, path}: Facts): boolean => {
	const isModel = match.models === undefined
		|| (work.kind === 'generation' && (match.models.includes(work.model) || match.models.includes(work.adapter ?? '')));
	const isService = match.service === undefined || (work.kind === 'call' && match.service === work.service);
	const isMethod = match.method === undefined || match.method.toUpperCase() === method.toUpperCase();
	const isPath = match.pathPrefix === undefined || path.startsWith(match.pathPrefix);
	return isModel && isService && isMethod && isPath;
};

const getClassified = ({rules}: Configuration, found: RequestClass, facts: Facts): ClassifiedRequest => {
	const targets = getTargetsAt(found, facts.customer, facts.arrivedAt);
	const request: ClassifiedRequest = {
		id: facts.id,
		customer: facts.customer.id,
		weight: facts.customer.weight,
		className: found.name,
		tier: found.tier,
		rank: rules.tiers.findIndex(tier => tier.name === found.tier),
		idempotent: found.idempotent,
		arrivedAt: facts.arrivedAt,
		targets,
		deadline: getDeadline(targets, facts.work, facts.arrivedAt),
		expectedTokens: found.expectedTokens,
		work: facts.work,
		digest: facts.digest,
		fingerprint: facts.fingerprint,
	};
	if (facts.idempotencyKey !== undefined) {
		request.idempotencyKey = facts.idempotencyKey;
	}

	return request;
};
