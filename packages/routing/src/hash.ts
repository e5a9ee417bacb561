/** Returns the 32-bit FNV-1a hash of a short ASCII text; all hosts compute the same. */
export const getHash = (text: string): number => {
	let hash = 2_166_136_261;
	for (let index = 0; index < text.length; index++) {
		// eslint-disable-next-line no-bitwise, unicorn/prefer-code-point -- FNV-1a combines bytes by XOR; ASCII has one byte per character.
		hash = Math.imul(hash ^ text.charCodeAt(index), 16_777_619);
	}

	// eslint-disable-next-line no-bitwise -- Converts to an unsigned 32-bit integer.
	return hash >>> 0;
};

/** Returns a hash like `getHash` whose bits are mixed once more, as the last characters of a text hardly reach the high bits of FNV-1a. */
export const getMixedHash = (text: string): number => {
	/* eslint-disable no-bitwise -- The finalizer of MurmurHash3 shifts and combines bits. */
	let hash = getHash(text);
	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
	/* eslint-enable no-bitwise */
};
