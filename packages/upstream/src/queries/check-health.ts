import type {Address, UpstreamSighting} from '@gentianlift/types';
import {callJson, type JsonAnswer} from '../wire/call-json.js';
import type {ExchangeContext} from '../wire/exchange.js';

const getSightingKind = (answer: JsonAnswer): UpstreamSighting['kind'] => {
	switch (answer.kind) {
		case 'answered': {
			// A plain service need not know the path; that it answers is what counts.
			return answer.status < 500 ? 'success' : 'error';
		}

		case 'unreachable':
		case 'reset':
		case 'silent': {
			return answer.kind;
		}

		case 'cancelled': {
			return 'unreachable';
		}
	}
};

/** Probes an upstream and says what was seen. */
export const checkHealth = async (context: ExchangeContext, address: Address): Promise<UpstreamSighting['kind']> =>
	getSightingKind(await callJson(context, {address, method: 'GET', path: '/health'}));
