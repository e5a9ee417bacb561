import type {IncomingMessage} from 'node:http';
import type {RequestLimits} from '@gentianlift/routing';

/** Size of headers above which Node rejects a request before the configured limit applies. */
export const maxHeaderBytes = 64 * 1024;
/** Most header fields of a request. Each takes many times its bytes in memory for as long as the request waits, and Node drops those beyond 1,000. */
const maxHeaderFields = 200;

/** Returns the size of raw headers, with two separator bytes for each name and value. */
const getHeaderBytes = (headers: readonly string[]): number => headers.reduce((sum, text) => sum + text.length + 2, 0);

/** Whether the raw headers of a request, names and values in turn, are too large or too many; without configured limits those of the server apply. */
export const exceedsHeaderLimits = (headers: readonly string[], limits: RequestLimits | undefined): boolean =>
	headers.length / 2 > maxHeaderFields || getHeaderBytes(headers) > (limits?.maxHeaderBytes ?? maxHeaderBytes);

/** Whether a request lacks the `Host` header, which HTTP/1.1 requires. */
export const lacksHost = ({httpVersion, headers}: IncomingMessage): boolean => httpVersion === '1.1' && headers.host === undefined;

/** Frees the headers of a request that was answered without them. */
export const dropHeaders = (request: IncomingMessage): void => {
	request.rawHeaders = [];
	request.headers = {};
};
