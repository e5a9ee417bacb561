import type {IncomingHttpHeaders} from 'node:http';
import {
	type Failure, type Refusal, type RefusalCode, refusalCodes,
} from '../outcome.js';
import type {Answer, ExchangeFailure} from './exchange.js';
import {readBody} from './read-body.js';

const millisecondsPerSecond = 1000;

const getCode = (text: string): RefusalCode => {
	try {
		const {error} = JSON.parse(text) as {error?: {code?: string}};
		return refusalCodes.find(code => code === error?.code) ?? 'other';
	} catch {
		return 'other';
	}
};

const getRefusal = (text: string, headers: IncomingHttpHeaders): Refusal => {
	const seconds = Number(headers['retry-after']);
	const code = getCode(text);
	return Number.isFinite(seconds) ? {kind: 'refused', code, retryAfter: seconds * millisecondsPerSecond} : {kind: 'refused', code};
};

/** Whether the upstream says that it didn't run the request. */
export const isRefusal = ({statusCode, headers}: Answer['response']): boolean =>
	statusCode === 503 && headers['x-ran'] === 'not-run';

/** Reads an answer that is an error. */
export const readError = async (answer: Answer): Promise<Refusal | Failure | ExchangeFailure> => {
	const {headers, statusCode = 0} = answer.response;
	const isRefused = isRefusal(answer.response);
	const body = await readBody(answer);
	if (isRefused) {
		return getRefusal(body.kind === 'read' ? body.text : '', headers);
	}

	if (body.kind !== 'read') {
		return body;
	}

	const failure: Failure = {kind: 'failed', status: statusCode, text: body.text};
	const contentType = headers['content-type'];
	return contentType === undefined ? failure : {...failure, contentType};
};
