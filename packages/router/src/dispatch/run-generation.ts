import {createFailure, type RequestFailure} from '@gentianlift/errors';
import {decideRetry, minGuiltyCrashes} from '@gentianlift/policy';
import type {GrantOutcome} from '@gentianlift/scheduler';
import type {
	ClassifiedRequest, Milliseconds, RunState, TicketEnd, UpstreamId,
} from '@gentianlift/types';
import type {ResponseWriter} from '../callers/caller-stream.js';
import type {HostContext} from '../host-context.js';
import {detectCrash, type AttemptFailure} from './attempt-failure.js';
import {runGenerationAttempt, type GenerationAttemptEnd} from './generation-attempt.js';
import {acquireUpstream, combineRunStates, finishAttempt} from './grants.js';

/** Generation, with everything that its attempts need. */
export type GenerationRun = {
	request: ClassifiedRequest;
	body: Record<string, unknown>;
	/** Memory that the request occupies while it is queued, in bytes. */
	bytes: number;
	/** Aborted when the caller has disconnected, or when the host aborts its requests; never for a non-idempotent request. */
	stopSignal: AbortSignal;
	/** Aborted in the same cases, for every request: one that has not been sent can be withdrawn. */
	withdrawalSignal: AbortSignal;
	writer: ResponseWriter;
};

/** Outcome of a generation after its last attempt. */
export type GenerationResult
	= | {kind: 'finished'; text: string; tokens: number; finishReason: string | undefined; promptTokens: number | undefined}
		| {kind: 'stopped'; ran: RunState; tokens: number}
		| {kind: 'failed'; failure: RequestFailure; tokens: number};

/** Accumulated result of the attempts so far. */
type Progress = {
	attempts: number;
	/** Attempts that count towards the retry limit; preempted attempts don't. */
	countedAttempts: number;
	preemptions: number;
	text: string;
	tokens: number;
	ran: RunState;
	/** Attempts during which the upstream crashed. */
	crashes: number;
	/** Upstreams on which an attempt failed. */
	avoid: UpstreamId[];
};

/** Next step after an attempt: another attempt, or the end of the generation. */
type Step = {kind: 'again'; progress: Progress} | {kind: 'done'; result: GenerationResult};

const ticketEndKinds = {
	finished: 'finished', yielded: 'preempted', stopped: 'cancelled', lost: 'failed',
} as const satisfies Record<GenerationAttemptEnd['result']['kind'], TicketEnd['kind']>;

/** Returns the time to the deadline for starting an attempt. It is unlimited once there is output, because resuming costs less than the request that the caller would send again after an incomplete answer. */
const getSlack = ({request}: GenerationRun, progress: Progress, now: Milliseconds): Milliseconds =>
	progress.tokens === 0 ? request.deadline - now : Number.POSITIVE_INFINITY;

const addAttempt = (progress: Progress, upstream: UpstreamId, end: GenerationAttemptEnd, ran: RunState): Progress => ({
	...progress,
	crashes: progress.crashes + (end.result.kind === 'lost' && end.result.observation === 'crashed' ? 1 : 0),
	avoid: end.result.kind === 'lost' ? [...progress.avoid, upstream] : progress.avoid,
	text: progress.text + end.text,
	tokens: progress.tokens + end.tokens,
	ran: combineRunStates(progress.ran, ran),
});

const handleAttemptFailure = async (context: HostContext, run: GenerationRun, progress: Progress, attemptFailure: AttemptFailure): Promise<Step> => {
	const {request} = run;
	if (attemptFailure.rejection !== undefined) {
		return {kind: 'done', result: {kind: 'failed', failure: createFailure(attemptFailure.error, {ran: progress.ran, detail: attemptFailure.rejection}), tokens: progress.tokens}};
	}

	if (progress.crashes >= minGuiltyCrashes) {
		return {kind: 'done', result: {kind: 'failed', failure: createFailure('crashes-upstreams', {ran: progress.ran}), tokens: progress.tokens}};
	}

	const decision = decideRetry({
		ran: attemptFailure.ran,
		idempotent: request.idempotent,
		attempts: progress.countedAttempts,
		slack: getSlack(run, progress, context.clock.now()),
		// Only the backoff delay has to fit into the slack.
		expectedDuration: 0,
		// The next attempt continues from the output so far.
		resumable: true,
		// Resuming isn't charged to the retry budget: it adds no load, because it replaces a request that the caller would send again from the start.
		withinBudget: progress.tokens > 0 || attemptFailure.ran === 'not-run' || context.limits.acquireRetry(request),
	}, context.random.next());
	if (decision.kind === 'stop') {
		context.metrics.count('retries_denied_total', {reason: decision.reason, error: attemptFailure.error});
		context.metrics.count('wasted_tokens_total', {cause: attemptFailure.error}, progress.tokens);
		const failure = createFailure(attemptFailure.error, {ran: progress.ran, ...(attemptFailure.retryAfter !== undefined && {retryAfter: attemptFailure.retryAfter})});
		return {kind: 'done', result: {kind: 'failed', failure, tokens: progress.tokens}};
	}

	context.metrics.count('retries_total', {reason: decision.reason, error: attemptFailure.error});
	await context.clock.sleep(decision.delay);
	return {kind: 'again', progress};
};

const handleAttemptEnd = async (context: HostContext, run: GenerationRun, progress: Progress, end: GenerationAttemptEnd): Promise<Step> => {
	const {result} = end;
	switch (result.kind) {
		case 'finished': {
			const {text, tokens} = progress;
			return {kind: 'done', result: {...result, text, tokens}};
		}

		case 'stopped': {
			context.metrics.count('wasted_tokens_total', {cause: 'caller-gone'}, progress.tokens);
			return {kind: 'done', result: {kind: 'stopped', ran: progress.ran, tokens: progress.tokens}};
		}

		case 'yielded': {
			context.metrics.count('retries_total', {reason: 'preempted', error: 'none'});
			return {kind: 'again', progress: {...progress, preemptions: progress.preemptions + 1, countedAttempts: progress.countedAttempts - 1}};
		}

		case 'lost': {
			return handleAttemptFailure(context, run, progress, result);
		}
	}
};

const runAttempt = async (context: HostContext, run: GenerationRun, progress: Progress, grant: Extract<GrantOutcome, {kind: 'granted'}>): Promise<Step> => {
	const {request} = run;
	const startedAt = context.clock.monotonic();
	context.accounts.apply({kind: 'attempt-started', request: request.id, upstream: grant.upstream});
	const address = context.getDirectory().byId.get(grant.upstream)?.address ?? '';
	const attempt = await runGenerationAttempt(context, {
		request,
		address,
		priority: grant.priority,
		body: run.body,
		resume: progress.tokens === 0 ? undefined : {text: progress.text, tokens: progress.tokens},
		stopSignal: run.stopSignal,
		preemptionSignal: grant.preemptionSignal,
		writer: run.writer,
	});
	const end = attempt.result.kind === 'lost' ? {...attempt, result: await detectCrash(context.upstreams, address, attempt.result)} : attempt;
	const ran = end.result.kind === 'lost' ? end.result.ran : 'ran';
	finishAttempt(context, {
		request,
		upstream: grant.upstream,
		attempt: progress.attempts,
		kind: ticketEndKinds[end.result.kind],
		failure: end.result.kind === 'lost' ? end.result : undefined,
		tokens: end.tokens,
		firstTokenAfter: end.firstTokenAfter,
		duration: context.clock.monotonic() - startedAt,
		ran,
	});
	return handleAttemptEnd(context, run, addAttempt(progress, grant.upstream, end, ran), end);
};

/** Runs a generation: acquires an engine, and after a failure or a preemption continues on another one if a retry is known to be safe. */
export const runGeneration = async (context: HostContext, run: GenerationRun): Promise<GenerationResult> => {
	let progress: Progress = {
		attempts: 0, countedAttempts: 0, preemptions: 0, text: '', tokens: 0, ran: 'not-run', crashes: 0, avoid: [],
	};
	for (;;) {
		progress = {...progress, attempts: progress.attempts + 1, countedAttempts: progress.countedAttempts + 1};
		// eslint-disable-next-line no-await-in-loop -- Attempts run one after another.
		const grant = await acquireUpstream(context, run.request, progress.ran === 'not-run' ? run.withdrawalSignal : run.stopSignal, {
			attempt: progress.attempts, avoid: progress.avoid, preemptions: progress.preemptions, resumed: progress.tokens > 0, bytes: run.bytes,
		});
		switch (grant.kind) {
			case 'withdrawn': {
				return {kind: 'stopped', ran: progress.ran, tokens: progress.tokens};
			}

			case 'shed': {
				return {kind: 'failed', failure: createFailure(grant.reason, {ran: progress.ran, retryAfter: grant.retryAfter}), tokens: progress.tokens};
			}

			case 'granted': {
				// eslint-disable-next-line no-await-in-loop -- Attempts run one after another.
				const step = await runAttempt(context, run, progress, grant);
				if (step.kind === 'done') {
					return step.result;
				}

				progress = step.progress;
			}
		}
	}
};
