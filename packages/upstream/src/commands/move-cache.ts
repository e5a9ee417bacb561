import type {Address} from '@gentianlift/types';
import {callJson} from '../wire/call-json.js';
import type {ExchangeContext} from '../wire/exchange.js';

const post = async (context: ExchangeContext, address: Address, path: string, value: unknown): Promise<boolean> => {
	const answer = await callJson(context, {
		address, method: 'POST', path, value,
	});
	return answer.kind === 'answered' && answer.status === 200;
};

/** Has an engine export the KV cache of a prefix; true when it confirms. */
export const exportCache = async (context: ExchangeContext, address: Address, chunk: string): Promise<boolean> =>
	post(context, address, '/v1/cache/export', {chunk});

/** Has an engine import the KV cache of a prefix from another; true when it confirms. */
export const importCache = async (context: ExchangeContext, address: Address, wanted: {chunk: string; from: Address}): Promise<boolean> =>
	post(context, address, '/v1/cache/import', wanted);
