import type {Address, CacheEvent} from '@gentianlift/types';
import {callJson} from '../wire/call-json.js';
import type {ExchangeContext} from '../wire/exchange.js';

/** Cache events after a sequence number, and the number to ask after next. */
export type CacheEventPage = {events: CacheEvent[]; next: number};

const isPage = (value: unknown): value is CacheEventPage => {
	const {events, next} = (value ?? {}) as Partial<CacheEventPage>;
	return Array.isArray(events) && typeof next === 'number';
};

/** Reads an engine's cache events after a sequence number; undefined when they can't be read. */
export const readCacheEvents = async (context: ExchangeContext, address: Address, after: number): Promise<CacheEventPage | undefined> => {
	const answer = await callJson(context, {address, method: 'GET', path: `/v1/cache-events?after=${after}`});
	return answer.kind === 'answered' && answer.status === 200 && isPage(answer.value) ? answer.value : undefined;
};
