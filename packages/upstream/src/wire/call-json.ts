import type {Address} from '@gentianlift/types';
import {exchange, type ExchangeContext, type ExchangeFailure} from './exchange.js';
import {controlTimeout} from './limits.js';
import {readBody} from './read-body.js';

/** A short call with JSON both ways. */
export type JsonCall = {address: Address; method: string; path: string; value?: unknown};

/** The answer to a short call; `value` is undefined when it isn't JSON. */
export type JsonAnswer = {kind: 'answered'; status: number; value: unknown} | ExchangeFailure;

const parseValue = (text: string): unknown => {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
};

/** Makes a short call. Never throws. */
export const callJson = async (context: ExchangeContext, {address, method, path, value}: JsonCall): Promise<JsonAnswer> => {
	const body = value === undefined ? {} : {body: JSON.stringify(value)};
	const headers = {accept: 'application/json', 'content-type': 'application/json'};
	const answer = await exchange(context, {
		address, method, path, headers, ...body,
	}, controlTimeout);
	if (answer.kind !== 'answered') {
		return answer;
	}

	const read = await readBody(answer);
	const status = answer.response.statusCode ?? 0;
	return read.kind === 'read' ? {kind: 'answered', status, value: parseValue(read.text)} : read;
};
