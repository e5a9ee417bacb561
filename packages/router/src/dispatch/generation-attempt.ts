import {getEngineBody, type GenerationOutcome, type Resume} from '@gentianlift/upstream';
import type {Address, ClassifiedRequest, Milliseconds} from '@gentianlift/types';
import type {AnswerWriter} from '../callers/caller-stream.js';
import type {HostParts} from '../parts.js';
import {getLostAttempt, type LostAttempt} from './attempt-end.js';

/** A generation to run at one engine. */
export type GenerationAttempt = {
	request: ClassifiedRequest;
	address: Address;
	priority: number;
	/** The caller's body; the router always asks the engine for a stream. */
	body: Record<string, unknown>;
	resume: Resume | undefined;
	/** Aborted when the caller has gone, or an operator forces the host to stop. */
	stop: AbortSignal;
	/** Aborted when a higher tier needs the slot. */
	yielding: AbortSignal;
	/** Takes whole events. */
	writer: AnswerWriter;
};

/** How one attempt of a generation ended. */
export type GenerationEnd = {
	/** Output of this attempt alone. */
	text: string;
	tokens: number;
	/** Time up to the first token, counted from the start of the attempt. */
	firstTokenAfter: Milliseconds | undefined;
	result:
		| {kind: 'finished'; finishReason: string | undefined; promptTokens: number | undefined}
		| {kind: 'yielded'}
		| {kind: 'stopped'}
		| LostAttempt;
};

const getPromptTokens = (usage: unknown): number | undefined => {
	if (typeof usage !== 'object' || usage === null || !('prompt_tokens' in usage)) {
		return undefined;
	}

	return typeof usage.prompt_tokens === 'number' ? usage.prompt_tokens : undefined;
};

const getLost = (outcome: Exclude<GenerationOutcome, {kind: 'finished'}>): LostAttempt => {
	if (outcome.kind === 'incomplete') {
		return {
			kind: 'lost', error: 'answer-incomplete', outcome: 'failed', sighting: 'reset', ran: 'ran',
		};
	}

	return {...getLostAttempt(outcome), ran: 'ran'};
};

const getResult = (outcome: GenerationOutcome, {stop, yielding}: GenerationAttempt): GenerationEnd['result'] => {
	if (outcome.kind === 'finished') {
		return {kind: 'finished', finishReason: outcome.finishReason, promptTokens: getPromptTokens(outcome.usage)};
	}

	if (stop.aborted) {
		return {kind: 'stopped'};
	}

	return yielding.aborted ? {kind: 'yielded'} : getLost(outcome);
};

/** Joins signals that outlive an attempt; `release` lets go of them, which a composite signal would do only with the garbage collector. */
const joinSignals = (signals: readonly AbortSignal[]) => {
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

/** Runs a generation at one engine and hands its events to the reader. Never throws. */
export const runGenerationAttempt = async (parts: HostParts, attempt: GenerationAttempt): Promise<GenerationEnd> => {
	const {request, address, priority, body, resume, stop, yielding, writer} = attempt;
	const startedAt = parts.clock.monotonic();
	const joined = joinSignals([stop, yielding]);
	const prefix = request.work.kind === 'generation' ? request.work.prefix : [];
	const started = await parts.upstreams.generate({
		address,
		body: getEngineBody(body, resume),
		headers: {
			'x-request-id': request.id, 'x-priority': String(priority), ...(prefix.length > 0 && {'x-prefix': prefix.join(',')}),
		},
		signal: joined.signal,
	});
	if (started.kind !== 'started') {
		joined.release();
		const result = started.kind === 'cancelled' ? getResult(started, attempt) : getLostAttempt(started);
		return {
			text: '', tokens: 0, firstTokenAfter: undefined, result,
		};
	}

	let firstTokenAfter: Milliseconds | undefined;
	for await (const {bytes, tokens} of started.chunks) {
		if (tokens > 0) {
			firstTokenAfter ??= parts.clock.monotonic() - startedAt;
		}

		if (!writer.write(bytes) && !(await writer.drained())) {
			break;
		}
	}

	const outcome = await started.outcome;
	joined.release();
	return {
		text: started.getText(), tokens: started.getTokens(), firstTokenAfter, result: getResult(outcome, attempt),
	};
};
