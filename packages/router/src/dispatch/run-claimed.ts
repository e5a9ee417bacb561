import {createFailure, type RequestFailure} from '@gentianlift/errors';
import type {
	Claim, ClaimDecision, ClaimOutcome, ClassifiedRequest, Milliseconds, UpstreamId,
} from '@gentianlift/types';
import type {HostContext} from '../host-context.js';

/** Outcome of a request that ran under a claim. */
export type ClaimedRequestEnd
	= | {kind: 'finished'; upstream?: UpstreamId; status: number; contentType?: string; body?: string}
		| {kind: 'failed'; upstream?: UpstreamId; failure: RequestFailure};

/** Result for the caller of a non-idempotent request. */
export type ClaimedRequestResult
	/** The request ran under this claim; its response has already been sent. */
	= | {kind: 'relayed'}
	/** An earlier request under the same key has finished; this is its stored outcome. */
		| {kind: 'stored'; claim: Claim; outcome: Extract<ClaimOutcome, {kind: 'finished'}>}
		| {kind: 'failed'; failure: RequestFailure};

/** Maximum wait of a repeated request for the one that is in flight under the same key. */
const joinTimeout: Milliseconds = 10_000;

const getOutcome = (end: ClaimedRequestEnd): ClaimOutcome => {
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
			return createFailure('in-progress', {detail: `Request: ${decision.claim.request}.`, retryAfter: joinTimeout});
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

const getEarlierResult = (claim: Claim): ClaimedRequestResult => {
	const {outcome} = claim;
	if (outcome.kind === 'finished') {
		return {kind: 'stored', claim, outcome};
	}

	const kind = outcome.kind === 'unknown' ? 'outcome-unknown' : 'in-progress';
	return {kind: 'failed', failure: createFailure(kind, {detail: `Request: ${claim.request}.`})};
};

/** Runs a non-idempotent request under its claim: `runRequest` is called at most once, and only after the claim has been stored. */
export const runClaimedRequest = async (context: HostContext, request: ClassifiedRequest, runRequest: () => Promise<ClaimedRequestEnd>): Promise<ClaimedRequestResult> => {
	const key = {customer: request.customer, key: request.idempotencyKey ?? ''};
	const decision = await context.claims.join({
		key,
		digest: request.digest,
		request: request.id,
		host: context.settings.host,
		incarnation: context.incarnation,
		className: request.className,
	}, joinTimeout);
	context.metrics.count('claims_total', {decision: decision.kind});
	switch (decision.kind) {
		case 'start': {
			const end = await runRequest();
			context.claims.settle({
				key, request: request.id, outcome: getOutcome(end), ...(end.upstream !== undefined && {upstream: end.upstream}),
			});
			return end.kind === 'finished' ? {kind: 'relayed'} : end;
		}

		case 'done': {
			return getEarlierResult(decision.claim);
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
