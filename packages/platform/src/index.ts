export * from './held-lease.js';
export {createHostListClient, type HostListClient} from './host-list-client.js';
export {
	createJsonClient, getReason, isOversizedReply, type JsonCall, type JsonClient, type JsonOutcome, type PlatformClientOptions,
} from './json-client.js';
export {createKeyValueClient, type KeyValueClient} from './key-value-client.js';
export * from './memory-key-value/index.js';
export {readPages, type Page, type PageReply} from './read-pages.js';
export type {ItemOutcome, ItemReader} from './reply-scanner.js';
export {selectItem} from './select-item.js';
export type {ReplySize} from './reply-size.js';
export * from './store-era.js';
export {createWeightStoreClient, type WeightStoreClient} from './weight-store-client.js';
