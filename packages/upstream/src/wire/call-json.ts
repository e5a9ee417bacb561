import type {Address} from '@gentianlift/types';
import {exchange, type ExchangeContext, type ExchangeFailure} from './exchange.js';
import {controlTimeout} from './timeouts.js';
import {readBody} from './read-body.js';

/** A call whose request and response bodies are short JSON values. */
export type JsonCall = {address: Address; method: string; path: string; value?: unknown};

/** The response to a JSON call; `value` is undefined if the body isn't valid JSON. */
export type JsonResponse = {kind: 'answered'; status: number; value: unknown} | ExchangeFailure;

const parseValue = (text: string): unknown => {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
};

/** Makes a JSON call, limited by `controlTimeout`. Never throws. */
export const callJson = async (context: ExchangeContext, {address, method, path, value}: JsonCall): Promise<JsonResponse> => {
	const body = value === undefined ? {} : {body: JSON.stringify(value)};
	const headers = {accept: 'application/json', 'content-type': 'application/json'};
	const response = await exchange(context, {
		address, method, path, headers, ...body,
	}, controlTimeout);
	if (response.kind !== 'answered') {
		return response;
	}

	const read = await readBody(response);
	const status = response.message.statusCode ?? 0;
	return read.kind === 'read' ? {kind: 'answered', status, value: parseValue(read.text)} : read;
};
