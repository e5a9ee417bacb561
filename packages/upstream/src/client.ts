import type {Clock} from '@gentianlift/clock';
import type {
	Address, FencedOrder, EngineLoadReport, OrderOutcome, RequestId, SilenceTimeouts, UpstreamObservation,
} from '@gentianlift/types';
import {callService, type ServiceResponse} from './commands/call-service.js';
import {cancelGeneration} from './commands/cancel-generation.js';
import {generate, type Generation, type GenerationCall} from './commands/generate.js';
import {exportCache, importCache} from './commands/move-cache.js';
import {sendOrder} from './commands/send-order.js';
import type {CallFailure} from './call-failure.js';
import {checkHealth} from './queries/check-health.js';
import {readCacheEvents, type CacheEventPage} from './queries/read-cache-events.js';
import {readLoad} from './queries/read-load.js';
import {createConnectionPool} from './wire/connection-pool.js';
import type {UpstreamRequest} from './wire/exchange.js';

/** HTTP client for upstreams. No method throws, and none retries a request. */
export type UpstreamClient = {
	generate: (call: GenerationCall) => Promise<Generation | CallFailure>;
	cancelGeneration: (address: Address, request: RequestId) => Promise<boolean>;
	callService: (call: UpstreamRequest) => Promise<ServiceResponse | CallFailure>;
	sendOrder: (address: Address, order: FencedOrder) => Promise<OrderOutcome>;
	exportCache: (address: Address, chunk: string) => Promise<boolean>;
	importCache: (address: Address, transfer: {chunk: string; from: Address}) => Promise<boolean>;
	readLoad: (address: Address) => Promise<EngineLoadReport | undefined>;
	readCacheEvents: (address: Address, after: number) => Promise<CacheEventPage | undefined>;
	checkHealth: (address: Address) => Promise<UpstreamObservation['kind'] | undefined>;
	/** Closes all connections, including those in use. */
	close: () => void;
};

/** Options of `createUpstreamClient`. */
export type UpstreamClientOptions = {clock: Clock; silenceLimits: SilenceTimeouts};

/** Creates a client with its own connection pool. */
export const createUpstreamClient = ({clock, silenceLimits}: UpstreamClientOptions): UpstreamClient => {
	const pool = createConnectionPool();
	const context = {clock, pool};
	return {
		generate: async call => generate(context, silenceLimits, call),
		cancelGeneration: async (address, request) => cancelGeneration(context, address, request),
		callService: async call => callService(context, silenceLimits, call),
		sendOrder: async (address, order) => sendOrder(context, address, order),
		exportCache: async (address, chunk) => exportCache(context, address, chunk),
		importCache: async (address, transfer) => importCache(context, address, transfer),
		readLoad: async address => readLoad(context, address),
		readCacheEvents: async (address, after) => readCacheEvents(context, address, after),
		checkHealth: async address => checkHealth(context, address),
		close: pool.close,
	};
};
