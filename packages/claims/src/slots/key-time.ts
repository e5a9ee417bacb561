import type {Milliseconds} from '@gentianlift/types';

const uuidPattern = /^([\da-f]{8})-([\da-f]{4})-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/iv;
const ulidPattern = /^[0-7][\dA-HJKMNP-TV-Z]{25}$/iv;
const ulidAlphabet = '0123456789ABCDEFGHJKMNPQRSTVWXYZ';
const ulidTimeLength = 10;

const getUlidTime = (key: string): Milliseconds => {
	let time = 0;
	for (const character of key.slice(0, ulidTimeLength).toUpperCase()) {
		time = (time * ulidAlphabet.length) + ulidAlphabet.indexOf(character);
	}

	return time;
};

/** Gets the moment that a UUIDv7 or a ULID carries; undefined for every other key. */
export const getKeyTime = (key: string): Milliseconds | undefined => {
	const uuid = uuidPattern.exec(key);
	if (uuid !== null) {
		return Number.parseInt(`${uuid[1]}${uuid[2]}`, 16);
	}

	return ulidPattern.test(key) ? getUlidTime(key) : undefined;
};
