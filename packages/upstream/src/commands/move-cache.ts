import type {Address} from '@gentianlift/types';
import {callJson} from '../wire/call-json.js';
import type {ExchangeContext} from '../wire/exchange.js';

const requestTransfer = async (context: ExchangeContext, address: Address, path: string, value: unknown): Promise<boolean> => {
	const response = await callJson(context, {
		address, method: 'POST', path, value,
	});
	return response.kind === 'answered' && response.status === 200;
};

/** Requests that an engine export the KV cache of a prefix. Returns whether the engine confirmed it. */
export const exportCache = async (context: ExchangeContext, address: Address, chunk: string): Promise<boolean> =>
	requestTransfer(context, address, '/v1/cache/export', {chunk});

/** Requests that an engine import the KV cache of a prefix from another engine. Returns whether the engine confirmed it. */
export const importCache = async (context: ExchangeContext, address: Address, transfer: {chunk: string; from: Address}): Promise<boolean> =>
	requestTransfer(context, address, '/v1/cache/import', transfer);
