import {getEngineBody, type GenerationOutcome, type GenerationProgress} from '@gentianlift/upstream';
import type {Address, ClassifiedRequest, Milliseconds} from '@gentianlift/types';
import type {ResponseWriter} from '../callers/caller-stream.js';
import type {HostContext} from '../host-context.js';
import {describeCallFailure, type AttemptFailure} from './attempt-failure.js';

/** Generation to run on one engine. */
export type GenerationAttempt = {
	request: ClassifiedRequest;
	address: Address;
	priority: number;
	/** Request body from the caller; the router always requests a streamed response from the engine. */
	body: Record<string, unknown>;
	/** Output of earlier attempts to continue from. */
	resume: GenerationProgress | undefined;
	/** Aborted when the caller has disconnected, or when an operator forces the host to stop; never for a non-idempotent request. */
	stopSignal: AbortSignal;
	/** Aborted when a request of a higher tier preempts this one. */
	preemptionSignal: AbortSignal;
	/** Receives complete events only. */
	writer: ResponseWriter;
};

/** Outcome of one attempt of a generation. */
export type GenerationAttemptEnd = {
	/** Output of this attempt, without that of earlier ones. */
	text: string;
	tokens: number;
	/** Time to first token, from the start of the attempt. */
	firstTokenAfter: Milliseconds | undefined;
	result:
		| {kind: 'finished'; finishReason: string | undefined; promptTokens: number | undefined}
		/** A request of a higher tier has preempted this one. */
		| {kind: 'yielded'}
		| {kind: 'stopped'}
		| AttemptFailure;
};

const getPromptTokens = (usage: unknown): number | undefined => {
	if (typeof usage !== 'object' || usage === null || !('prompt_tokens' in usage)) {
		return undefined;
	}

	return typeof usage.prompt_tokens === 'number' ? usage.prompt_tokens : undefined;
};

const getFailure = (outcome: Exclude<GenerationOutcome, {kind: 'finished'}>): AttemptFailure => {
	if (outcome.kind === 'incomplete') {
		return {
			kind: 'lost', error: 'answer-incomplete', outcome: 'failed', reason: 'incomplete', observation: 'reset', ran: 'ran',
		};
	}

	return {...describeCallFailure(outcome), ran: 'ran'};
};

const getResult = (outcome: GenerationOutcome, {stopSignal, preemptionSignal}: GenerationAttempt): GenerationAttemptEnd['result'] => {
	if (outcome.kind === 'finished') {
		return {kind: 'finished', finishReason: outcome.finishReason, promptTokens: getPromptTokens(outcome.usage)};
	}

	if (stopSignal.aborted) {
		return {kind: 'stopped'};
	}

	return preemptionSignal.aborted ? {kind: 'yielded'} : getFailure(outcome);
};

/** Combines signals that outlive an attempt. Unlike `AbortSignal.any`, whose listeners stay until garbage collection, `release` removes them at once. */
const combineSignals = (signals: readonly AbortSignal[]) => {
	const controller = new AbortController();
	const abort = (): void => {
		controller.abort();
	};

	for (const signal of signals) {
		signal.addEventListener('abort', abort, {once: true});
	}

	if (signals.some(({aborted}) => aborted)) {
		abort();
	}

	return {
		signal: controller.signal,
		release() {
			for (const signal of signals) {
				signal.removeEventListener('abort', abort);
			}
		},
	};
};

/** Runs a generation on one engine and streams its events to the writer. Never throws. */
export const runGenerationAttempt = async (context: HostContext, attempt: GenerationAttempt): Promise<GenerationAttemptEnd> => {
	const {request, address, priority, body, resume, stopSignal, preemptionSignal, writer} = attempt;
	const startedAt = context.clock.monotonic();
	const combined = combineSignals([stopSignal, preemptionSignal]);
	const prefix = request.work.kind === 'generation' ? request.work.prefix : [];
	const generation = await context.upstreams.generate({
		address,
		body: getEngineBody(body, resume),
		headers: {
			'x-request-id': request.id, 'x-priority': String(priority), ...(prefix.length > 0 && {'x-prefix': prefix.join(',')}),
		},
		signal: combined.signal,
	});
	if (generation.kind !== 'started') {
		combined.release();
		const result = generation.kind === 'cancelled' ? getResult(generation, attempt) : describeCallFailure(generation);
		return {
			text: '', tokens: 0, firstTokenAfter: undefined, result,
		};
	}

	let firstTokenAfter: Milliseconds | undefined;
	for await (const {bytes, tokens} of generation.chunks) {
		if (tokens > 0) {
			firstTokenAfter ??= context.clock.monotonic() - startedAt;
		}

		if (!writer.write(bytes) && !(await writer.waitUntilWritable())) {
			break;
		}
	}

	const outcome = await generation.outcome;
	combined.release();
	return {
		text: generation.getText(), tokens: generation.getTokens(), firstTokenAfter, result: getResult(outcome, attempt),
	};
};
