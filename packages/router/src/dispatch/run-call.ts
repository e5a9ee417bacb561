import {Buffer} from 'node:buffer';
import type {OutgoingHttpHeaders} from 'node:http';
import {createFailure, type RequestFailure} from '@gentianlift/errors';
import {decideRetry} from '@gentianlift/policy';
import type {GrantOutcome} from '@gentianlift/scheduler';
import type {ClassifiedRequest, RunState, UpstreamId} from '@gentianlift/types';
import type {HostContext} from '../host-context.js';
import {detectCrash, type AttemptFailure} from './attempt-failure.js';
import {
	runCallAttempt, type ResponseReceiver, type CallAttemptEnd,
} from './call-attempt.js';
import {acquireUpstream, combineRunStates, finishAttempt} from './grants.js';

/** Call to a service, with everything that its attempts need. */
export type CallRun = {
	request: ClassifiedRequest;
	method: string;
	/** Path at the service, with the query string. */
	path: string;
	headers: OutgoingHttpHeaders;
	body: Uint8Array;
	/** Aborted when the caller has disconnected, or when an operator forces the host to stop. A non-idempotent call continues nevertheless once it has been sent. */
	callerDisconnectedSignal: AbortSignal;
	receiver: ResponseReceiver;
};

/** Outcome of a call after its last attempt. */
export type CallResult
	= | {kind: 'finished'; status: number; contentType: string | undefined; body: string | undefined; upstream: UpstreamId}
		| {kind: 'stopped'; ran: RunState}
		| {kind: 'failed'; failure: RequestFailure};

/** Result of the attempts so far; `avoid` lists the upstreams that failed. */
type Progress = {attempts: number; ran: RunState; avoid: UpstreamId[]};

const createFailedResult = (failure: AttemptFailure, ran: RunState): CallResult => ({
	kind: 'failed',
	failure: createFailure(failure.error, {ran, ...(failure.retryAfter !== undefined && {retryAfter: failure.retryAfter})}),
});

/** Decides whether a failed attempt is retried, and if so waits for the backoff delay. */
const prepareRetry = async (context: HostContext, run: CallRun, progress: Progress, failure: AttemptFailure): Promise<boolean> => {
	const {request} = run;
	const decision = decideRetry({
		ran: failure.ran,
		idempotent: request.idempotent,
		attempts: progress.attempts,
		slack: request.deadline - context.clock.now(),
		// Only the backoff delay has to fit into the slack.
		expectedDuration: 0,
		// A call is retried only if no part of its response has reached the caller, so there is nothing to continue.
		resumable: true,
		withinBudget: failure.ran === 'not-run' || context.limits.acquireRetry(request),
	}, context.random.next());
	if (decision.kind === 'stop') {
		context.metrics.count('retries_denied_total', {reason: decision.reason, error: failure.error});
		return false;
	}

	context.metrics.count('retries_total', {reason: decision.reason, error: failure.error});
	await context.clock.sleep(decision.delay);
	return true;
};

const getAttemptFailure = (end: CallAttemptEnd): AttemptFailure | undefined => {
	switch (end.kind) {
		case 'finished': {
			return undefined;
		}

		case 'cut': {
			return end.failure;
		}

		case 'lost': {
			return end;
		}
	}
};

const runAttempt = async (context: HostContext, run: CallRun, progress: Progress, {upstream}: Extract<GrantOutcome, {kind: 'granted'}>): Promise<CallAttemptEnd> => {
	const {request, method, path, headers, body, callerDisconnectedSignal, receiver} = run;
	const startedAt = context.clock.monotonic();
	context.accounts.apply({kind: 'attempt-started', request: request.id, upstream});
	const address = context.getDirectory().byId.get(upstream)?.address ?? '';
	const attempt = await runCallAttempt(context, {
		address,
		method,
		path,
		headers,
		body: Buffer.from(body.buffer, body.byteOffset, body.byteLength),
		...(request.idempotent && {signal: callerDisconnectedSignal}),
	}, receiver, !request.idempotent);
	const end = attempt.kind === 'lost' ? await detectCrash(context.upstreams, address, attempt) : attempt;
	const failure = getAttemptFailure(end);
	finishAttempt(context, {
		request,
		upstream,
		attempt: progress.attempts,
		kind: failure === undefined ? 'finished' : 'failed',
		failure,
		tokens: 0,
		firstTokenAfter: undefined,
		duration: context.clock.monotonic() - startedAt,
		ran: failure?.ran ?? 'ran',
	});
	return end;
};

/** Runs one attempt; returns the result of the call, or the progress from which it is retried. */
const runAttemptAndDecide = async (context: HostContext, run: CallRun, progress: Progress, grant: Extract<GrantOutcome, {kind: 'granted'}>): Promise<CallResult | Progress> => {
	const end = await runAttempt(context, run, progress, grant);
	const {upstream} = grant;
	switch (end.kind) {
		case 'finished': {
			return {...end, upstream};
		}

		case 'cut': {
			return run.callerDisconnectedSignal.aborted ? {kind: 'stopped', ran: 'ran'} : createFailedResult(end.failure, 'ran');
		}

		case 'lost': {
			const ran = combineRunStates(progress.ran, end.ran);
			if (run.request.idempotent && run.callerDisconnectedSignal.aborted) {
				return {kind: 'stopped', ran};
			}

			return await prepareRetry(context, run, progress, end) ? {attempts: progress.attempts, ran, avoid: [...progress.avoid, upstream]} : createFailedResult(end, ran);
		}
	}
};

/** Runs a call: acquires an upstream, and retries on another one if the call did not execute or is idempotent. */
export const runCall = async (context: HostContext, run: CallRun): Promise<CallResult> => {
	let progress: Progress = {attempts: 0, ran: 'not-run', avoid: []};
	for (;;) {
		progress = {...progress, attempts: progress.attempts + 1};
		// eslint-disable-next-line no-await-in-loop -- Attempts run one after another.
		const grant = await acquireUpstream(context, run.request, run.callerDisconnectedSignal, {attempt: progress.attempts, avoid: progress.avoid, bytes: run.body.length});
		switch (grant.kind) {
			case 'withdrawn': {
				return {kind: 'stopped', ran: progress.ran};
			}

			case 'shed': {
				return {kind: 'failed', failure: createFailure(grant.reason, {ran: progress.ran, retryAfter: grant.retryAfter})};
			}

			case 'granted': {
				// eslint-disable-next-line no-await-in-loop -- Attempts run one after another.
				const result = await runAttemptAndDecide(context, run, progress, grant);
				if ('kind' in result) {
					return result;
				}

				progress = result;
			}
		}
	}
};
