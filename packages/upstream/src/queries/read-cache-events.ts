import type {Address, CacheEvent} from '@gentianlift/types';
import {callJson} from '../wire/call-json.js';
import type {ExchangeContext} from '../wire/exchange.js';

/** Cache events after a sequence number, and the sequence number from which the next page continues. */
export type CacheEventPage = {events: CacheEvent[]; next: number};

const isPage = (value: unknown): value is CacheEventPage => {
	const {events, next} = (value ?? {}) as Partial<CacheEventPage>;
	return Array.isArray(events) && typeof next === 'number';
};

/** Reads an engine's cache events after a sequence number; undefined if the request fails or the response is invalid. */
export const readCacheEvents = async (context: ExchangeContext, address: Address, after: number): Promise<CacheEventPage | undefined> => {
	const response = await callJson(context, {address, method: 'GET', path: `/v1/cache-events?after=${after}`});
	return response.kind === 'answered' && response.status === 200 && isPage(response.value) ? response.value : undefined;
};
