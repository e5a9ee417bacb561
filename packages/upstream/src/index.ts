export {
	createUpstreamClient, type UpstreamClient, type UpstreamClientOptions,
} from './client.js';
export type {Generation, GenerationCall, GenerationOutcome} from './commands/generate.js';
export type {ServiceResponse, ServiceOutcome} from './commands/call-service.js';
export type {CacheEventPage} from './queries/read-cache-events.js';
export type {StreamChunk} from './wire/chunk-stream.js';
export type {GenerationEnd} from './wire/event-reader.js';
export type {ExchangeFailure, UpstreamRequest} from './wire/exchange.js';
export {getEndToEndHeaders, hopByHopHeaders} from './wire/headers.js';
export {getEngineBody, type GenerationProgress} from './engine-body.js';
export {
	getRunState, refusalCodes, type CallFailure, type ErrorResponse, type Refusal, type RefusalCode,
} from './call-failure.js';
export {createUpstreamHealth, type UpstreamHealth, type UpstreamHealthOptions} from './health/upstream-health.js';
export {leavingSources, type LeavingSource} from './health/leaving-upstreams.js';
