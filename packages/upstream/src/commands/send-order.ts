import type {Address, FencedOrder, OrderOutcome} from '@gentianlift/types';
import {callJson} from '../wire/call-json.js';
import type {ExchangeContext} from '../wire/exchange.js';

const getHighest = (value: unknown): number => {
	const {highest} = (value ?? {}) as {highest?: unknown};
	return typeof highest === 'number' ? highest : 0;
};

/** Sends an order to an engine once. `refused` proves that it wasn't carried out, `unknown` proves nothing. */
export const sendOrder = async (context: ExchangeContext, address: Address, order: FencedOrder): Promise<OrderOutcome> => {
	const answer = await callJson(context, {
		address, method: 'POST', path: '/v1/orders', value: order,
	});
	switch (answer.kind) {
		case 'unreachable': {
			return {kind: 'refused', reason: answer.reason};
		}

		case 'reset': {
			return {kind: 'unknown', reason: answer.reason};
		}

		case 'silent':
		case 'cancelled': {
			return {kind: 'unknown', reason: answer.kind};
		}

		case 'answered': {
			return getOrderOutcome(answer.status, answer.value);
		}
	}
};

const getOrderOutcome = (status: number, value: unknown): OrderOutcome => {
	if (status === 200) {
		return {kind: 'accepted'};
	}

	if (status === 409) {
		return {kind: 'stale', highest: getHighest(value)};
	}

	const reason = `status-${status}`;
	return status < 500 ? {kind: 'refused', reason} : {kind: 'unknown', reason};
};
