import {createFailure, type RequestFailure} from '@gentianlift/errors';
import type {
	Claim, ClaimDecision, ClaimOutcome, ClassifiedRequest, Milliseconds, UpstreamId,
} from '@gentianlift/types';
import type {HostParts} from '../parts.js';

/** How a claimed request ended, for its claim and for its caller. */
export type ClaimedEnd
	= | {kind: 'finished'; upstream?: UpstreamId; status: number; contentType?: string; body?: string}
		| {kind: 'failed'; upstream?: UpstreamId; failure: RequestFailure};

/** What the caller of a non-idempotent request gets. */
export type ClaimedResult
	/** The request ran now; its answer has been relayed. */
	= | {kind: 'relayed'}
	/** The request had ended before; this is its stored outcome. */
		| {kind: 'stored'; claim: Claim; outcome: Extract<ClaimOutcome, {kind: 'finished'}>}
		| {kind: 'failed'; failure: RequestFailure};

/** Longest wait of a resend for the request that is under way. */
const joinLimit: Milliseconds = 10_000;

const getOutcome = (end: ClaimedEnd): ClaimOutcome => {
	if (end.kind === 'finished') {
		const {status, contentType, body} = end;
		return {
			kind: 'finished', status, ...(contentType !== undefined && {contentType}), ...(body !== undefined && {body}),
		};
	}

	return end.failure.ran === 'not-run' ? {kind: 'not-run'} : {kind: 'unknown', reason: end.failure.kind};
};

const getFailure = (decision: Exclude<ClaimDecision, {kind: 'start' | 'done'}>): RequestFailure => {
	switch (decision.kind) {
		case 'in-progress': {
			return createFailure('in-progress', {detail: `Request: ${decision.claim.request}.`, retryAfter: joinLimit});
		}

		case 'unknown': {
			return createFailure('outcome-unknown', {detail: `Request: ${decision.claim.request}.`});
		}

		case 'mismatch': {
			return createFailure('key-mismatch');
		}

		case 'expired': {
			return createFailure('claim-expired');
		}

		case 'full': {
			return createFailure('claims-full');
		}

		case 'invalid': {
			return createFailure('key-invalid', {detail: decision.reason});
		}

		case 'unavailable': {
			return createFailure('claims-unavailable', {
				detail: `Nothing was sent upstream for this request; whether an earlier one under the same key ran is not known (${decision.reason}).`,
			});
		}
	}
};

const getDone = (claim: Claim): ClaimedResult => {
	const {outcome} = claim;
	if (outcome.kind === 'finished') {
		return {kind: 'stored', claim, outcome};
	}

	const kind = outcome.kind === 'unknown' ? 'outcome-unknown' : 'in-progress';
	return {kind: 'failed', failure: createFailure(kind, {detail: `Request: ${claim.request}.`})};
};

/** Runs a non-idempotent request under its claim: `run` is called at most once, and only after the claim is stored. */
export const runClaimed = async (parts: HostParts, request: ClassifiedRequest, run: () => Promise<ClaimedEnd>): Promise<ClaimedResult> => {
	const key = {customer: request.customer, key: request.idempotencyKey ?? ''};
	const decision = await parts.claims.join({
		key,
		digest: request.digest,
		request: request.id,
		host: parts.settings.host,
		incarnation: parts.incarnation,
		className: request.className,
	}, joinLimit);
	parts.metrics.count('claims_total', {decision: decision.kind});
	switch (decision.kind) {
		case 'start': {
			const end = await run();
			parts.claims.settle({
				key, request: request.id, outcome: getOutcome(end), ...(end.upstream !== undefined && {upstream: end.upstream}),
			});
			return end.kind === 'finished' ? {kind: 'relayed'} : end;
		}

		case 'done': {
			return getDone(decision.claim);
		}

		case 'in-progress':
		case 'unknown':
		case 'mismatch':
		case 'expired':
		case 'full':
		case 'invalid':
		case 'unavailable': {
			return {kind: 'failed', failure: getFailure(decision)};
		}
	}
};
