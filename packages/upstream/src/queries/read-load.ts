import type {Address, EngineLoadReport} from '@gentianlift/types';
import {callJson} from '../wire/call-json.js';
import type {ExchangeContext} from '../wire/exchange.js';

const isReport = (value: unknown): value is EngineLoadReport => {
	const {at, running, waiting, models} = (value ?? {}) as Partial<EngineLoadReport>;
	return typeof at === 'number' && typeof running === 'number' && typeof waiting === 'number' && Array.isArray(models);
};

/** Reads an engine's load report; undefined if the request fails or the response is invalid. */
export const readLoad = async (context: ExchangeContext, address: Address): Promise<EngineLoadReport | undefined> => {
	const response = await callJson(context, {address, method: 'GET', path: '/v1/load'});
	return response.kind === 'answered' && response.status === 200 && isReport(response.value) ? response.value : undefined;
};
