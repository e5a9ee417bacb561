import type {Milliseconds, ModelName, UpstreamId} from './ids.js';
import type {EngineRole} from './inventory.js';

/** Load report of an engine, from `GET /v1/load`; it lags behind the actual load. */
export type EngineLoadReport = {
	/** Time of the measurement by the engine's clock, in milliseconds since the epoch. */
	at: Milliseconds;
	running: number;
	waiting: number;
	/** Fraction of the KV cache in use, from 0 to 1. */
	cacheUse: number;
	/** Output tokens per second over the last few seconds. */
	tokensPerSecond: number;
	models: ModelName[];
	adapters: ModelName[];
	role: EngineRole;
	/** Whether the engine no longer accepts requests. */
	leaving: boolean;
};

/** A prompt prefix stored in or evicted from an engine's KV cache; a gap in `sequence` means that events were lost. */
export type CacheEvent = {
	sequence: number;
	kind: 'stored' | 'evicted';
	/** Digest of the prompt chunk and all chunks before it, as sent in the `x-prefix` header. */
	chunk: string;
};

/** Action that an order instructs an engine to perform. */
export type EngineOrder
	= | {kind: 'load'; model: ModelName; version: string}
		| {kind: 'unload'; model: ModelName}
		| {kind: 'load-adapter'; adapter: ModelName}
		| {kind: 'unload-adapter'; adapter: ModelName}
		| {kind: 'change-role'; role: EngineRole};

/** An order with its fencing number, as sent to `POST /v1/orders` of an engine. */
export type FencedOrder = {
	/** Identifies the order for deduplication: an engine executes repeats of an id only once. */
	id: string;
	fencingNumber: number;
	order: EngineOrder;
};

/** Outcome of sending an order to an engine; `stale` if the engine has seen a higher fencing number, `unknown` if the order may have been executed. */
export type OrderOutcome
	= | {kind: 'accepted'}
		| {kind: 'stale'; highest: number}
		| {kind: 'refused'; reason: string}
		| {kind: 'unknown'; reason: string};

/**
 * Availability of an upstream as a host sees it:
 * - `available`: it gets requests.
 * - `probing`: its ejection has expired, and it gets one request at a time until it counts as available.
 * - `ejected`: it has failed, and gets no requests.
 * - `leaving`: it drains or shuts down, and gets no new requests.
 */
export type UpstreamAvailability = 'available' | 'probing' | 'ejected' | 'leaving';

/** One observation of an upstream by a host, apart from load reports, such as the end of a request or of a probe. */
export type UpstreamObservation = {
	upstream: UpstreamId;
	at: Milliseconds;
	kind: 'success' | 'refused' | 'unreachable' | 'reset' | 'silent' | 'error' | 'leaving' | 'crashed';
};
