import {createHash} from 'node:crypto';

/** Characters of a prompt that one prefix digest covers beyond the digest before it. */
export const chunkCharacters = 1024;

/** Most digests that are kept of one prompt. */
export const longestPrefix = 8;

const prefixDigits = 10;
const fingerprintDigits = 16;

const getHash = (text: string, digits: number): string => createHash('sha256').update(text).digest('hex').slice(0, digits);

/** Gets the digests of a prompt's prefixes, shortest first; the model is part of each. Only whole chunks count. */
export const getPrefixDigests = (model: string, prompt: string): string[] => {
	const digests: string[] = [];
	let previous = model;
	for (let end = chunkCharacters; end <= prompt.length && digests.length < longestPrefix; end += chunkCharacters) {
		previous = getHash(`${previous}\n${prompt.slice(end - chunkCharacters, end)}`, prefixDigits);
		digests.push(previous);
	}

	return digests;
};

/** Gets a digest that is the same for resends of a prompt that differ only in case or white space. */
export const getFingerprint = (model: string, prompt: string): string => {
	const normalised = prompt.normalize('NFKC').toLowerCase().replaceAll(/\s+/gv, ' ').trim();
	return getHash(`${model}\n${normalised}`, fingerprintDigits);
};
