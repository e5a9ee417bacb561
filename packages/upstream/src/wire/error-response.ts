import type {IncomingHttpHeaders} from 'node:http';
import {
	type ErrorResponse, type Refusal, type RefusalCode, refusalCodes,
} from '../call-failure.js';
import type {UpstreamResponse, ExchangeFailure} from './exchange.js';
import {readBody} from './read-body.js';

const millisecondsPerSecond = 1000;

const parseRefusalCode = (text: string): RefusalCode => {
	try {
		const {error} = JSON.parse(text) as {error?: {code?: string}};
		return refusalCodes.find(code => code === error?.code) ?? 'other';
	} catch {
		return 'other';
	}
};

const getRefusal = (text: string, headers: IncomingHttpHeaders): Refusal => {
	const seconds = Number(headers['retry-after']);
	const code = parseRefusalCode(text);
	return Number.isFinite(seconds) ? {kind: 'refused', code, retryAfter: seconds * millisecondsPerSecond} : {kind: 'refused', code};
};

/** Returns whether the upstream states that it has not executed the request. */
export const isRefusal = ({statusCode, headers}: UpstreamResponse['message']): boolean =>
	statusCode === 503 && headers['x-ran'] === 'not-run';

/** Reads the body of an error response. */
export const readError = async (response: UpstreamResponse): Promise<Refusal | ErrorResponse | ExchangeFailure> => {
	const {headers, statusCode = 0} = response.message;
	const isRefused = isRefusal(response.message);
	const body = await readBody(response);
	if (isRefused) {
		return getRefusal(body.kind === 'read' ? body.text : '', headers);
	}

	if (body.kind !== 'read') {
		return body;
	}

	const failure: ErrorResponse = {kind: 'failed', status: statusCode, text: body.text};
	const contentType = headers['content-type'];
	return contentType === undefined ? failure : {...failure, contentType};
};
