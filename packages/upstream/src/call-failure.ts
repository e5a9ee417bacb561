import type {Milliseconds, RunState} from '@gentianlift/types';
import type {ExchangeFailure} from './wire/exchange.js';

/** Codes with which an upstream refuses a request without executing it. */
export const refusalCodes = ['busy', 'leaving', 'model-not-loaded', 'other'] as const;
/** One of `refusalCodes`. */
export type RefusalCode = typeof refusalCodes[number];

/** The upstream refused the request and states that it has not executed it. */
export type Refusal = {kind: 'refused'; code: RefusalCode; retryAfter?: Milliseconds};

/** The upstream responded with an error; whether it executed the request depends on the status. */
export type ErrorResponse = {kind: 'failed'; status: number; text: string; contentType?: string};

/** Why a call ended without a usable response. */
export type CallFailure = ExchangeFailure | Refusal | ErrorResponse;

/** Returns whether the upstream executed the request of a failed call, or `unknown` if the failure doesn't tell. */
export const getRunState = (failure: CallFailure): RunState => {
	switch (failure.kind) {
		case 'unsent':
		case 'unreachable':
		case 'refused': {
			return 'not-run';
		}

		case 'reset':
		case 'silent':
		case 'cancelled': {
			return 'unknown';
		}

		case 'failed': {
			return failure.status < 500 ? 'not-run' : 'ran';
		}
	}
};
