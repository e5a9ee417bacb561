import type {Milliseconds, ModelName, UpstreamId} from './ids.js';
import type {EngineRole} from './inventory.js';

/** Load report of an engine, `GET /v1/load`; it lags behind the truth. */
export type LoadReport = {
	/** Moment at the engine that the figures describe, in milliseconds since the epoch. */
	at: Milliseconds;
	running: number;
	waiting: number;
	/** Part of the KV cache in use, from 0 to 1. */
	cacheUse: number;
	/** Output tokens a second over the last few seconds. */
	tokensPerSecond: number;
	models: ModelName[];
	adapters: ModelName[];
	role: EngineRole;
	/** True once the engine takes no new work. */
	leaving: boolean;
};

/** A prefix stored in or evicted from an engine's cache; `sequence` has gaps where events were lost. */
export type CacheEvent = {
	sequence: number;
	kind: 'stored' | 'evicted';
	/** Digest of the chunk and all before it, as sent in the `x-prefix` header. */
	chunk: string;
};

/** What an order asks of an engine. */
export type EngineOrder
	= | {kind: 'load'; model: ModelName; version: string}
		| {kind: 'unload'; model: ModelName}
		| {kind: 'load-adapter'; adapter: ModelName}
		| {kind: 'unload-adapter'; adapter: ModelName}
		| {kind: 'change-role'; role: EngineRole};

/** An order as sent to `POST /v1/orders` of an engine. */
export type FencedOrder = {
	/** Repeats of the same id have no further effect. */
	id: string;
	fencingNumber: number;
	order: EngineOrder;
};

/** What an engine answers to an order. */
export type OrderOutcome
	= | {kind: 'accepted'}
		| {kind: 'stale'; highest: number}
		| {kind: 'refused'; reason: string}
		| {kind: 'unknown'; reason: string};

/** What a host has seen of an upstream, beside its load reports. */
export type UpstreamSighting = {
	upstream: UpstreamId;
	at: Milliseconds;
	kind: 'success' | 'refused' | 'unreachable' | 'reset' | 'silent' | 'error' | 'leaving' | 'crashed';
};
