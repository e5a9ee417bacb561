import type {Address, LoadReport} from '@gentianlift/types';
import {callJson} from '../wire/call-json.js';
import type {ExchangeContext} from '../wire/exchange.js';

const isReport = (value: unknown): value is LoadReport => {
	const {at, running, waiting, models} = (value ?? {}) as Partial<LoadReport>;
	return typeof at === 'number' && typeof running === 'number' && typeof waiting === 'number' && Array.isArray(models);
};

/** Reads an engine's load report; undefined when it can't be read or isn't one. */
export const readLoad = async (context: ExchangeContext, address: Address): Promise<LoadReport | undefined> => {
	const answer = await callJson(context, {address, method: 'GET', path: '/v1/load'});
	return answer.kind === 'answered' && answer.status === 200 && isReport(answer.value) ? answer.value : undefined;
};
