import type {Address, RequestId} from '@gentianlift/types';
import {exchange, type ExchangeContext} from '../wire/exchange.js';
import {controlTimeout} from '../wire/limits.js';
import {readBody} from '../wire/read-body.js';

/** Asks an engine over another connection to cancel a generation; true when it confirms. */
export const cancelGeneration = async (context: ExchangeContext, address: Address, request: RequestId): Promise<boolean> => {
	const path = `/v1/generations/${encodeURIComponent(request)}`;
	const answer = await exchange(context, {
		address, method: 'DELETE', path, headers: {},
	}, controlTimeout);
	if (answer.kind !== 'answered') {
		return false;
	}

	await readBody(answer);
	const status = answer.response.statusCode ?? 0;
	return status < 300 || status === 404;
};
