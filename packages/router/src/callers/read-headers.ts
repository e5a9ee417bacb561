import type {IncomingMessage} from 'node:http';
import {createFailure} from '@gentianlift/errors';

const nonRepeatableHeaders = new Set(['authorization', 'content-type', 'content-length', 'idempotency-key', 'x-class', 'host']);

/** Throws `repeated-header` if a header that may occur only once is repeated. */
export const checkHeaders = (request: IncomingMessage): void => {
	const seen = new Set<string>();
	for (const [index, text] of request.rawHeaders.entries()) {
		const name = text.toLowerCase();
		if (index % 2 === 1 || !nonRepeatableHeaders.has(name)) {
			continue;
		}

		if (seen.has(name)) {
			throw createFailure('repeated-header', {detail: `Header: ${name}.`});
		}

		seen.add(name);
	}
};

const bearer = /^Bearer +(?<key>\S+) *$/iv;

/** Returns the caller's API key; throws `missing-key` if there is none. */
export const getApiKey = (request: IncomingMessage): string => {
	const key = bearer.exec(request.headers.authorization ?? '')?.groups?.key;
	if (key === undefined) {
		throw createFailure('missing-key');
	}

	return key;
};

const maxIdempotencyKeyLength = 200;
const printable = /^[!-~]+$/v;

/** Returns the idempotency key, if there is one; throws `key-invalid` if it is malformed. */
export const getIdempotencyKey = (request: IncomingMessage): string | undefined => {
	const key = request.headers['idempotency-key'];
	if (key === undefined) {
		return undefined;
	}

	if (typeof key !== 'string' || key.length > maxIdempotencyKeyLength || !printable.test(key)) {
		throw createFailure('key-invalid', {detail: `It takes 1 to ${maxIdempotencyKeyLength} printable characters without spaces.`});
	}

	return key;
};

/** Returns the class that the caller declares, if any. */
export const getDeclaredClass = (request: IncomingMessage): string | undefined => {
	const name = request.headers['x-class'];
	return typeof name === 'string' && name !== '' ? name : undefined;
};
