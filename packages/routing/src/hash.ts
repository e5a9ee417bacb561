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
