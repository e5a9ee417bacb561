import type {ErrorKind} from '@gentianlift/errors';
import type {ClassifiedRequest, Customer, Milliseconds} from '@gentianlift/types';

/** Answer of the limits to a request. */
export type LimitDecision =
	| {kind: 'taken'; release: (tokens: number) => void}
	| {kind: 'refused'; error: Extract<ErrorKind, 'customer-rate' | 'customer-tokens' | 'customer-concurrency'>; retryAfter: Milliseconds};

/** Limits that hold over all hosts. */
export type Limits = {
	/** Takes a request into account; `release` tells its end and the tokens that it used. */
	take: (customer: Customer, request: ClassifiedRequest) => LimitDecision;
	/** Takes one retry of a class's budget; false if none is left. */
	takeRetry: (request: ClassifiedRequest) => boolean;
};
