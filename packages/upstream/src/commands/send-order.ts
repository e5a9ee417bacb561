import type {Address, FencedOrder, OrderOutcome} from '@gentianlift/types';
import {callJson} from '../wire/call-json.js';
import type {ExchangeContext} from '../wire/exchange.js';

const getHighestFencingNumber = (value: unknown): number => {
	const {highest} = (value ?? {}) as {highest?: unknown};
	return typeof highest === 'number' ? highest : 0;
};

/** Sends an order to an engine, without retries. `refused` means that the order was not executed; after `unknown` it may have been. */
export const sendOrder = async (context: ExchangeContext, address: Address, order: FencedOrder): Promise<OrderOutcome> => {
	const response = await callJson(context, {
		address, method: 'POST', path: '/v1/orders', value: order,
	});
	switch (response.kind) {
		case 'unsent': {
			return {kind: 'refused', reason: response.kind};
		}

		case 'unreachable': {
			return {kind: 'refused', reason: response.reason};
		}

		case 'reset': {
			return {kind: 'unknown', reason: response.reason};
		}

		case 'silent':
		case 'cancelled': {
			return {kind: 'unknown', reason: response.kind};
		}

		case 'answered': {
			return getOrderOutcome(response.status, response.value);
		}
	}
};

const getOrderOutcome = (status: number, value: unknown): OrderOutcome => {
	if (status === 200) {
		return {kind: 'accepted'};
	}

	if (status === 409) {
		return {kind: 'stale', highest: getHighestFencingNumber(value)};
	}

	const reason = `status-${status}`;
	return status < 500 ? {kind: 'refused', reason} : {kind: 'unknown', reason};
};
