import type {ExchangeFailure, UpstreamResponse} from './exchange.js';

/**
Returns why a body whose stream has ended isn't whole; undefined if it is. Node reports no error to the reader of a body without length or chunks whose connection was reset, only to the request.
*/
export const getBodyFailure = ({getFailure}: Pick<UpstreamResponse, 'getFailure'>, error: unknown, reason: string): ExchangeFailure | undefined =>
	getFailure() ?? (error ? {kind: 'reset', reason} : undefined);
