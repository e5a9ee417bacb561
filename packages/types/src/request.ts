import type {
	ClassName, CustomerId, Milliseconds, ModelName, Rank, RequestId, TierName, UpstreamId,
} from './ids.js';
import type {Targets} from './inventory.js';

/** The work that a request asks for: a generation by a model, or a call to a service. */
export type Work
	= | {kind: 'generation'; model: ModelName; adapter?: ModelName; promptTokens: number; maxTokens: number; stream: boolean; prefix: string[]}
		| {kind: 'call'; service: string; method: string; path: string};

/** A request after classification, with all data that decisions about it need. */
export type ClassifiedRequest = {
	id: RequestId;
	customer: CustomerId;
	/** Weight of the customer in fair sharing within its tier. */
	weight: number;
	className: ClassName;
	tier: TierName;
	rank: Rank;
	idempotent: boolean;
	arrivedAt: Milliseconds;
	targets: Targets;
	/** Time by which the latency target has to be met: by the first token of a generation, by the complete response of a call. */
	deadline: Milliseconds;
	/** Expected number of output tokens. */
	expectedTokens: number;
	work: Work;
	/** Idempotency key; present on non-idempotent requests. */
	idempotencyKey?: string;
	/** Digest of method, path and body, in lower-case hexadecimal. */
	digest: string;
	/** Digest of the model and the normalised prompt; stays the same when a caller sends the request again under another id. */
	fingerprint: string;
};

/** Whether a request was executed by an upstream, as reported to the caller. */
export const runStates = ['ran', 'not-run', 'unknown'] as const;
/** One of `runStates`. */
export type RunState = typeof runStates[number];

/** One attempt of a request at an upstream. */
export type Attempt = {
	upstream: UpstreamId;
	startedAt: Milliseconds;
	endedAt?: Milliseconds;
	outcome: AttemptOutcome;
	/** Number of output tokens that the router received. */
	tokens: number;
};

/** States and outcomes of an attempt. */
export const attemptOutcomes = ['running', 'finished', 'refused', 'unsent', 'unreachable', 'reset', 'silent', 'cancelled', 'preempted', 'failed'] as const;
/** One of `attemptOutcomes`. */
export type AttemptOutcome = typeof attemptOutcomes[number];

/** State of a request, as reported to its caller. */
export type AccountState
	= | {kind: 'refused'; error: string; at: Milliseconds; retryAfter?: Milliseconds}
		| {kind: 'waiting'; since: Milliseconds}
		| {kind: 'running'; since: Milliseconds}
		| {kind: 'finished'; at: Milliseconds; status: number}
		| {kind: 'failed'; error: string; at: Milliseconds}
		| {kind: 'cancelled'; at: Milliseconds}
		| {kind: 'unknown'; reason: string; at: Milliseconds};

/** Record of one request, as returned by `GET /v1/requests/<id>`. */
export type Account = {
	id: RequestId;
	customer: CustomerId;
	className: ClassName;
	ran: RunState;
	state: AccountState;
	attempts: Attempt[];
};
