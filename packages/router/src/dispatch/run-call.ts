import {Buffer} from 'node:buffer';
import type {OutgoingHttpHeaders} from 'node:http';
import {createFailure, type RequestFailure} from '@gentianlift/errors';
import {decideRetry} from '@gentianlift/policy';
import type {Grant} from '@gentianlift/scheduler';
import type {ClassifiedRequest, RunState, UpstreamId} from '@gentianlift/types';
import type {HostParts} from '../parts.js';
import {probeLoss, type LostAttempt} from './attempt-end.js';
import {
	runCallAttempt, type AnswerReader, type CallEnd,
} from './call-attempt.js';
import {askForUpstream, joinRunStates, recordAttemptEnd} from './grants.js';

/** A call to a service, to run to its end. */
export type CallRun = {
	request: ClassifiedRequest;
	method: string;
	/** Path at the service, with its query. */
	path: string;
	headers: OutgoingHttpHeaders;
	body: Uint8Array;
	/** Aborted when the caller has gone. A non-idempotent call goes on all the same once it was sent. */
	gone: AbortSignal;
	reader: AnswerReader;
};

/** Outcome of a call. */
export type CallResult
	= | {kind: 'finished'; status: number; contentType: string | undefined; body: string | undefined; upstream: UpstreamId}
		| {kind: 'stopped'; ran: RunState}
		| {kind: 'failed'; failure: RequestFailure};

type Progress = {attempts: number; ran: RunState; avoid: UpstreamId[]};

const getFailed = (lost: LostAttempt, ran: RunState): CallResult => ({
	kind: 'failed',
	failure: createFailure(lost.error, {ran, ...(lost.retryAfter !== undefined && {retryAfter: lost.retryAfter})}),
});

const mayRetry = async (parts: HostParts, run: CallRun, progress: Progress, lost: LostAttempt): Promise<boolean> => {
	const {request} = run;
	const decision = decideRetry({
		ran: lost.ran,
		idempotent: request.idempotent,
		attempts: progress.attempts,
		slack: request.deadline - parts.clock.now(),
		expectedDuration: 0,
		resumable: true,
		withinBudget: lost.ran === 'not-run' || parts.limits.takeRetry(request),
	}, parts.random.next());
	if (decision.kind === 'stop') {
		parts.metrics.count('retries_denied_total', {reason: decision.reason, error: lost.error});
		return false;
	}

	parts.metrics.count('retries_total', {reason: decision.reason, error: lost.error});
	await parts.clock.sleep(decision.delay);
	return true;
};

const getLost = (end: CallEnd): LostAttempt | undefined => {
	switch (end.kind) {
		case 'finished': {
			return undefined;
		}

		case 'cut': {
			return end.lost;
		}

		case 'lost': {
			return end;
		}
	}
};

const runOnce = async (parts: HostParts, run: CallRun, progress: Progress, {upstream}: Extract<Grant, {kind: 'granted'}>): Promise<CallEnd> => {
	const {request, method, path, headers, body, gone, reader} = run;
	const startedAt = parts.clock.monotonic();
	parts.accounts.apply({kind: 'attempt-started', request: request.id, upstream});
	const address = parts.getDirectory().byId.get(upstream)?.address ?? '';
	const attempt = await runCallAttempt(parts, {
		address,
		method,
		path,
		headers,
		body: Buffer.from(body.buffer, body.byteOffset, body.byteLength),
		...(request.idempotent && {signal: gone}),
	}, reader, !request.idempotent);
	const end = attempt.kind === 'lost' ? await probeLoss(parts.upstreams, address, attempt) : attempt;
	const lost = getLost(end);
	recordAttemptEnd(parts, {
		request,
		upstream,
		attempt: progress.attempts,
		kind: lost === undefined ? 'finished' : 'failed',
		lost,
		tokens: 0,
		firstTokenAfter: undefined,
		duration: parts.clock.monotonic() - startedAt,
		ran: lost?.ran ?? 'ran',
	});
	return end;
};

const settle = async (parts: HostParts, run: CallRun, progress: Progress, grant: Extract<Grant, {kind: 'granted'}>): Promise<CallResult | Progress> => {
	const end = await runOnce(parts, run, progress, grant);
	const {upstream} = grant;
	switch (end.kind) {
		case 'finished': {
			return {...end, upstream};
		}

		case 'cut': {
			return run.gone.aborted ? {kind: 'stopped', ran: 'ran'} : getFailed(end.lost, 'ran');
		}

		case 'lost': {
			const ran = joinRunStates(progress.ran, end.ran);
			if (run.request.idempotent && run.gone.aborted) {
				return {kind: 'stopped', ran};
			}

			return await mayRetry(parts, run, progress, end) ? {attempts: progress.attempts, ran, avoid: [...progress.avoid, upstream]} : getFailed(end, ran);
		}
	}
};

/** Runs a call: asks for an upstream, and tries another where the call was not run or is idempotent. */
export const runCall = async (parts: HostParts, run: CallRun): Promise<CallResult> => {
	let progress: Progress = {attempts: 0, ran: 'not-run', avoid: []};
	for (;;) {
		progress = {...progress, attempts: progress.attempts + 1};
		// eslint-disable-next-line no-await-in-loop -- Attempts run one after another.
		const grant = await askForUpstream(parts, run.request, run.gone, {attempt: progress.attempts, avoid: progress.avoid, bytes: run.body.length});
		switch (grant.kind) {
			case 'withdrawn': {
				return {kind: 'stopped', ran: progress.ran};
			}

			case 'shed': {
				return {kind: 'failed', failure: createFailure(grant.reason, {ran: progress.ran, retryAfter: grant.retryAfter})};
			}

			case 'granted': {
				// eslint-disable-next-line no-await-in-loop -- Attempts run one after another.
				const result = await settle(parts, run, progress, grant);
				if ('kind' in result) {
					return result;
				}

				progress = result;
			}
		}
	}
};
