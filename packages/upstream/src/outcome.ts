import type {Milliseconds, RunState} from '@gentianlift/types';
import type {ExchangeFailure} from './wire/exchange.js';

/** Why an upstream refused a request without running it. */
export const refusalCodes = ['busy', 'leaving', 'model-not-loaded', 'other'] as const;
/** One of `refusalCodes`. */
export type RefusalCode = typeof refusalCodes[number];

/** The upstream refused and says that the request did not run. */
export type Refusal = {kind: 'refused'; code: RefusalCode; retryAfter?: Milliseconds};

/** The upstream answered with an error; whether the request ran depends on the status. */
export type Failure = {kind: 'failed'; status: number; text: string; contentType?: string};

/** Every way in which a call can end before its answer starts. */
export type CallFailure = ExchangeFailure | Refusal | Failure;

/** Whether the request ran at the upstream, as far as the ending of a call that gave no answer proves it. */
export const getRunState = (failure: CallFailure): RunState => {
	switch (failure.kind) {
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
