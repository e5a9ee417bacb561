import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import type {HostId, Milliseconds} from '@gentianlift/types';

/** Credentials that a host presents to another when it opens a connection. */
export type Credentials = {
	from: HostId;
	to: HostId;
	/** Time of creation in milliseconds since the Unix epoch, as decimal text. */
	at: string;
	/** HMAC-SHA256 of the other fields, in hexadecimal. */
	signature: string;
};

/** Maximum difference between the time of creation and the receiver's clock, which allows for clock skew between hosts. */
const maxAge: Milliseconds = 60_000;

const computeSignature = (key: string, from: HostId, to: HostId, at: string): string =>
	createHmac('sha256', key).update(JSON.stringify(['peer', from, to, at])).digest('hex');

/** Creates credentials that are signed with the first of the keys. */
export const createCredentials = (keys: readonly string[], from: HostId, to: HostId, now: Milliseconds): Credentials => {
	const at = String(now);
	return {
		from, to, at, signature: computeSignature(keys[0] ?? '', from, to, at),
	};
};

/** Whether credentials are intended for this host, recent, and signed with any of the keys, which allows for key rotation. */
export const areValidCredentials = (keys: readonly string[], credentials: Partial<Credentials>, self: HostId, now: Milliseconds): credentials is Credentials => {
	const {
		from, to, at, signature,
	} = credentials;
	if (from === undefined || to !== self || at === undefined || signature === undefined) {
		return false;
	}

	if (!(Math.abs(now - Number(at)) <= maxAge)) {
		return false;
	}

	// Compares in constant time, so that response times reveal nothing about the valid signature.
	const actual = Buffer.from(signature);
	return keys.some(key => {
		const expected = Buffer.from(computeSignature(key, from, to, at));
		return expected.length === actual.length && timingSafeEqual(expected, actual);
	});
};
