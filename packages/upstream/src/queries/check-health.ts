import type {Address, UpstreamObservation} from '@gentianlift/types';
import {callJson, type JsonResponse} from '../wire/call-json.js';
import type {ExchangeContext} from '../wire/exchange.js';

const getObservationKind = (response: JsonResponse): UpstreamObservation['kind'] | undefined => {
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

		case 'unsent': {
			return undefined;
		}

		case 'cancelled': {
			return 'unreachable';
		}
	}
};

/** Probes an upstream over HTTP and returns the kind of the observation; undefined if the probe wasn't sent. */
export const checkHealth = async (context: ExchangeContext, address: Address): Promise<UpstreamObservation['kind'] | undefined> =>
	getObservationKind(await callJson(context, {address, method: 'GET', path: '/health'}));
