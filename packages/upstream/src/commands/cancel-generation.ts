import type {Address, RequestId} from '@gentianlift/types';
import {exchange, type ExchangeContext} from '../wire/exchange.js';
import {controlTimeout} from '../wire/timeouts.js';
import {readBody} from '../wire/read-body.js';

/** Requests over a separate connection that an engine cancel a generation. Returns whether the engine confirmed it or no longer knows the generation. */
export const cancelGeneration = async (context: ExchangeContext, address: Address, request: RequestId): Promise<boolean> => {
	const path = `/v1/generations/${encodeURIComponent(request)}`;
	const response = await exchange(context, {
		address, method: 'DELETE', path, headers: {},
	}, controlTimeout);
	if (response.kind !== 'answered') {
		return false;
	}

	await readBody(response);
	const status = response.message.statusCode ?? 0;
	return status < 300 || status === 404;
};
