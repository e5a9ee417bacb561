import type {Address, UpstreamObservation} from '@gentianlift/types';
import {callJson, type JsonResponse} from '../wire/call-json.js';
import type {ExchangeContext} from '../wire/exchange.js';

const getObservationKind = (response: JsonResponse): UpstreamObservation['kind'] => {
	switch (response.kind) {
		case 'answered': {
			// Services need not implement the path, so any response below 500 counts as healthy.
			return response.status < 500 ? 'success' : 'error';
		}

		case 'unreachable':
		case 'reset':
		case 'silent': {
			return response.kind;
		}

		case 'cancelled': {
			return 'unreachable';
		}
	}
};

/** Probes an upstream over HTTP and returns the kind of the observation. */
export const checkHealth = async (context: ExchangeContext, address: Address): Promise<UpstreamObservation['kind']> =>
	getObservationKind(await callJson(context, {address, method: 'GET', path: '/health'}));
