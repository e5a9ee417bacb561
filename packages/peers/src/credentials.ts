import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import type {HostId, Milliseconds} from '@gentianlift/types';

/** What a host shows to another when it opens a connection. */
export type Credentials = {
	from: HostId;
	to: HostId;
	/** Moment at which they were made, in milliseconds since the epoch, as decimal text. */
	at: string;
	/** HMAC-SHA256 over the other fields, in hex. */
	signature: string;
};

/** Longest age of credentials, which allows for clocks that differ. */
const longestAge: Milliseconds = 60_000;

const getSignature = (key: string, from: HostId, to: HostId, at: string): string =>
	createHmac('sha256', key).update(JSON.stringify(['peer', from, to, at])).digest('hex');

/** Creates credentials signed with the first key. */
export const createCredentials = (keys: readonly string[], from: HostId, to: HostId, now: Milliseconds): Credentials => {
	const at = String(now);
	return {
		from, to, at, signature: getSignature(keys[0] ?? '', from, to, at),
	};
};

/** Whether credentials are for this host, recent, and signed with one of the keys. */
export const areValidCredentials = (keys: readonly string[], credentials: Partial<Credentials>, self: HostId, now: Milliseconds): credentials is Credentials => {
	const {
		from, to, at, signature,
	} = credentials;
	if (from === undefined || to !== self || at === undefined || signature === undefined) {
		return false;
	}

	if (!(Math.abs(now - Number(at)) <= longestAge)) {
		return false;
	}

	const given = Buffer.from(signature);
	return keys.some(key => {
		const expected = Buffer.from(getSignature(key, from, to, at));
		return expected.length === given.length && timingSafeEqual(expected, given);
	});
};
