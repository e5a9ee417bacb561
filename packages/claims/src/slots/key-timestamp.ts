import type {Milliseconds} from '@gentianlift/types';

const uuidPattern = /^([\da-f]{8})-([\da-f]{4})-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/iv;
const ulidPattern = /^[0-7][\dA-HJKMNP-TV-Z]{25}$/iv;
const ulidAlphabet = '0123456789ABCDEFGHJKMNPQRSTVWXYZ';
const ulidTimestampLength = 10;

const getUlidTimestamp = (key: string): Milliseconds => {
	let timestamp = 0;
	for (const character of key.slice(0, ulidTimestampLength).toUpperCase()) {
		timestamp = (timestamp * ulidAlphabet.length) + ulidAlphabet.indexOf(character);
	}

	return timestamp;
};

/** Returns the timestamp in a UUIDv7 or a ULID, in milliseconds since the Unix epoch; undefined for other keys. */
export const getKeyTimestamp = (key: string): Milliseconds | undefined => {
	const uuid = uuidPattern.exec(key);
	if (uuid !== null) {
		return Number.parseInt(`${uuid[1]}${uuid[2]}`, 16);
	}

	return ulidPattern.test(key) ? getUlidTimestamp(key) : undefined;
};
