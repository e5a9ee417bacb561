import type {
	ClassName, CustomerId, Milliseconds, ModelName, Rank, RequestId, TierName, UpstreamId,
} from './ids.js';
import type {Targets} from './inventory.js';

/** What a request asks for. */
export type Work
	= | {kind: 'generation'; model: ModelName; adapter?: ModelName; promptTokens: number; maxTokens: number; stream: boolean; prefix: string[]}
		| {kind: 'call'; service: string; method: string; path: string};

/** A request after classification: plain data for every decision about it. */
export type ClassifiedRequest = {
	id: RequestId;
	customer: CustomerId;
	/** Share of service of the customer inside its tier. */
	weight: number;
	className: ClassName;
	tier: TierName;
	rank: Rank;
	idempotent: boolean;
	arrivedAt: Milliseconds;
	targets: Targets;
	/** Moment after which the answer misses its target: the first token's for a generation, the whole answer's for a call. */
	deadline: Milliseconds;
	/** Output tokens that the class is expected to take. */
	expectedTokens: number;
	work: Work;
	/** Key of a non-idempotent request. */
	idempotencyKey?: string;
	/** Digest of method, path and body, in lower-case hex. */
	digest: string;
	/** Digest of the model and the normalised prompt, the same for resends under other ids. */
	fingerprint: string;
};

/** Whether a request ran at an upstream, as the caller is told. */
export const runStates = ['ran', 'not-run', 'unknown'] as const;
/** One of `runStates`. */
export type RunState = typeof runStates[number];

/** One attempt of a request at an upstream. */
export type Attempt = {
	upstream: UpstreamId;
	startedAt: Milliseconds;
	endedAt?: Milliseconds;
	outcome: AttemptOutcome;
	/** Output tokens that reached the router. */
	tokens: number;
};

/** How an attempt stands. */
export const attemptOutcomes = ['running', 'finished', 'refused', 'unreachable', 'reset', 'silent', 'cancelled', 'preempted', 'failed'] as const;
/** One of `attemptOutcomes`. */
export type AttemptOutcome = typeof attemptOutcomes[number];

/** Where a request stands. */
export type AccountState
	= | {kind: 'refused'; error: string; at: Milliseconds; retryAfter?: Milliseconds}
		| {kind: 'waiting'; since: Milliseconds}
		| {kind: 'running'; since: Milliseconds}
		| {kind: 'finished'; at: Milliseconds; status: number}
		| {kind: 'failed'; error: string; at: Milliseconds}
		| {kind: 'cancelled'; at: Milliseconds}
		| {kind: 'unknown'; reason: string; at: Milliseconds};

/** The account of one request, as `GET /v1/requests/<id>` gives it. */
export type Account = {
	id: RequestId;
	customer: CustomerId;
	className: ClassName;
	ran: RunState;
	state: AccountState;
	attempts: Attempt[];
};
