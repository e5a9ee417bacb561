import {createHash} from 'node:crypto';

/** Length of a chunk: each prefix digest covers one more chunk than the one before it. */
export const charactersPerChunk = 1024;

/** Maximum number of prefix digests of a prompt. */
export const maxPrefixDigests = 8;

/** Hexadecimal digits of a prefix digest. */
const prefixDigestLength = 10;
/** Hexadecimal digits of a fingerprint. */
const fingerprintLength = 16;

const hashText = (text: string, length: number): string => createHash('sha256').update(text).digest('hex').slice(0, length);

/** Returns the digests of a prompt's prefixes, the shortest first. Each digest includes the model; an incomplete last chunk is ignored. */
export const getPrefixDigests = (model: string, prompt: string): string[] => {
	const digests: string[] = [];
	let previous = model;
	for (let end = charactersPerChunk; end <= prompt.length && digests.length < maxPrefixDigests; end += charactersPerChunk) {
		previous = hashText(`${previous}\n${prompt.slice(end - charactersPerChunk, end)}`, prefixDigestLength);
		digests.push(previous);
	}

	return digests;
};

/** Returns a digest of a prompt that ignores case and white space, so that copies sent again by a caller have the same one. */
export const getFingerprint = (model: string, prompt: string): string => {
	const normalised = prompt.normalize('NFKC').toLowerCase().replaceAll(/\s+/gv, ' ').trim();
	return hashText(`${model}\n${normalised}`, fingerprintLength);
};
