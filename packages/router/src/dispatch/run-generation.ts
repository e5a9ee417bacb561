import {createFailure, type RequestFailure} from '@gentianlift/errors';
import {decideRetry, guiltyCrashes} from '@gentianlift/policy';
import type {Grant} from '@gentianlift/scheduler';
import type {
	ClassifiedRequest, Milliseconds, RunState, TicketEnd, UpstreamId,
} from '@gentianlift/types';
import type {AnswerWriter} from '../callers/caller-stream.js';
import type {HostParts} from '../parts.js';
import {probeLoss, type LostAttempt} from './attempt-end.js';
import {runGenerationAttempt, type GenerationEnd} from './generation-attempt.js';
import {askForUpstream, joinRunStates, recordAttemptEnd} from './grants.js';

/** A generation to run to its end, over as many engines as it takes. */
export type GenerationRun = {
	request: ClassifiedRequest;
	body: Record<string, unknown>;
	/** Bytes that the request holds while it waits. */
	bytes: number;
	stop: AbortSignal;
	writer: AnswerWriter;
};

/** Outcome of a generation. */
export type GenerationResult
	= | {kind: 'finished'; text: string; tokens: number; finishReason: string | undefined; promptTokens: number | undefined}
		| {kind: 'stopped'; ran: RunState; tokens: number}
		| {kind: 'failed'; failure: RequestFailure; tokens: number};

/** What the attempts so far have come to. */
type Progress = {
	attempts: number;
	/** Attempts that count against the limit of retries; those that yielded don't. */
	tries: number;
	yields: number;
	text: string;
	tokens: number;
	ran: RunState;
	/** Attempts whose upstream crashed. */
	crashes: number;
	avoid: UpstreamId[];
};

type Step = {kind: 'again'; progress: Progress} | {kind: 'done'; result: GenerationResult};

const ticketEndKinds = {
	finished: 'finished', yielded: 'preempted', stopped: 'cancelled', lost: 'failed',
} as const satisfies Record<GenerationEnd['result']['kind'], TicketEnd['kind']>;

/** Gets the time left to start in. Once there is output, going on from it is always less work than the resend that would follow a cut answer. */
const getSlack = ({request}: GenerationRun, progress: Progress, now: Milliseconds): Milliseconds =>
	progress.tokens === 0 ? request.deadline - now : Number.POSITIVE_INFINITY;

const addAttempt = (progress: Progress, upstream: UpstreamId, end: GenerationEnd, ran: RunState): Progress => ({
	...progress,
	crashes: progress.crashes + (end.result.kind === 'lost' && end.result.sighting === 'crashed' ? 1 : 0),
	avoid: end.result.kind === 'lost' ? [...progress.avoid, upstream] : progress.avoid,
	text: progress.text + end.text,
	tokens: progress.tokens + end.tokens,
	ran: joinRunStates(progress.ran, ran),
});

const stepAfterLoss = async (parts: HostParts, run: GenerationRun, progress: Progress, lost: LostAttempt): Promise<Step> => {
	const {request} = run;
	if (lost.rejection !== undefined) {
		return {kind: 'done', result: {kind: 'failed', failure: createFailure(lost.error, {ran: progress.ran, detail: lost.rejection}), tokens: progress.tokens}};
	}

	if (progress.crashes >= guiltyCrashes) {
		return {kind: 'done', result: {kind: 'failed', failure: createFailure('crashes-upstreams', {ran: progress.ran}), tokens: progress.tokens}};
	}

	const decision = decideRetry({
		ran: lost.ran,
		idempotent: request.idempotent,
		attempts: progress.tries,
		slack: getSlack(run, progress, parts.clock.now()),
		expectedDuration: 0,
		resumable: true,
		// Going on from output is no extra load: it takes the place of a resend by the caller, which would start anew.
		withinBudget: progress.tokens > 0 || lost.ran === 'not-run' || parts.limits.takeRetry(request),
	}, parts.random.next());
	if (decision.kind === 'stop') {
		parts.metrics.count('retries_denied_total', {reason: decision.reason, error: lost.error});
		parts.metrics.count('wasted_tokens_total', {cause: lost.error}, progress.tokens);
		const failure = createFailure(lost.error, {ran: progress.ran, ...(lost.retryAfter !== undefined && {retryAfter: lost.retryAfter})});
		return {kind: 'done', result: {kind: 'failed', failure, tokens: progress.tokens}};
	}

	parts.metrics.count('retries_total', {reason: decision.reason, error: lost.error});
	await parts.clock.sleep(decision.delay);
	return {kind: 'again', progress};
};

const stepAfter = async (parts: HostParts, run: GenerationRun, progress: Progress, end: GenerationEnd): Promise<Step> => {
	const {result} = end;
	switch (result.kind) {
		case 'finished': {
			const {text, tokens} = progress;
			return {kind: 'done', result: {...result, text, tokens}};
		}

		case 'stopped': {
			parts.metrics.count('wasted_tokens_total', {cause: 'caller-gone'}, progress.tokens);
			return {kind: 'done', result: {kind: 'stopped', ran: progress.ran, tokens: progress.tokens}};
		}

		case 'yielded': {
			parts.metrics.count('retries_total', {reason: 'preempted', error: 'none'});
			return {kind: 'again', progress: {...progress, yields: progress.yields + 1, tries: progress.tries - 1}};
		}

		case 'lost': {
			return stepAfterLoss(parts, run, progress, result);
		}
	}
};

const runOnce = async (parts: HostParts, run: GenerationRun, progress: Progress, grant: Extract<Grant, {kind: 'granted'}>): Promise<Step> => {
	const {request} = run;
	const startedAt = parts.clock.monotonic();
	parts.accounts.apply({kind: 'attempt-started', request: request.id, upstream: grant.upstream});
	const address = parts.getDirectory().byId.get(grant.upstream)?.address ?? '';
	const attempt = await runGenerationAttempt(parts, {
		request,
		address,
		priority: grant.priority,
		body: run.body,
		resume: progress.tokens === 0 ? undefined : {text: progress.text, tokens: progress.tokens},
		stop: run.stop,
		yielding: grant.yieldSignal,
		writer: run.writer,
	});
	const end = attempt.result.kind === 'lost' ? {...attempt, result: await probeLoss(parts.upstreams, address, attempt.result)} : attempt;
	const ran = end.result.kind === 'lost' ? end.result.ran : 'ran';
	recordAttemptEnd(parts, {
		request,
		upstream: grant.upstream,
		attempt: progress.attempts,
		kind: ticketEndKinds[end.result.kind],
		lost: end.result.kind === 'lost' ? end.result : undefined,
		tokens: end.tokens,
		firstTokenAfter: end.firstTokenAfter,
		duration: parts.clock.monotonic() - startedAt,
		ran,
	});
	return stepAfter(parts, run, addAttempt(progress, grant.upstream, end, ran), end);
};

/** Runs a generation: asks for an engine, and after a loss or a preemption goes on at another where that is proven safe. */
export const runGeneration = async (parts: HostParts, run: GenerationRun): Promise<GenerationResult> => {
	let progress: Progress = {
		attempts: 0, tries: 0, yields: 0, text: '', tokens: 0, ran: 'not-run', crashes: 0, avoid: [],
	};
	for (;;) {
		progress = {...progress, attempts: progress.attempts + 1, tries: progress.tries + 1};
		// eslint-disable-next-line no-await-in-loop -- Attempts run one after another.
		const grant = await askForUpstream(parts, run.request, run.stop, {
			attempt: progress.attempts, avoid: progress.avoid, yields: progress.yields, resumed: progress.tokens > 0, bytes: run.bytes,
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
				const step = await runOnce(parts, run, progress, grant);
				if (step.kind === 'done') {
					return step.result;
				}

				progress = step.progress;
			}
		}
	}
};
