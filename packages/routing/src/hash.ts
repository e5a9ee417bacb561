/** Gets a 32-bit hash of a short text of ASCII characters; the same at all hosts. */
export const getHash = (text: string): number => {
	let hash = 2_166_136_261;
	for (let index = 0; index < text.length; index++) {
		// eslint-disable-next-line no-bitwise, unicorn/prefer-code-point -- FNV-1a over ASCII names.
		hash = Math.imul(hash ^ text.charCodeAt(index), 16_777_619);
	}

	// eslint-disable-next-line no-bitwise -- To an unsigned number.
	return hash >>> 0;
};
