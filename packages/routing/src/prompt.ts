/** A part of a prompt, such as a document, that other requests may share. */
export type PromptPart = {id: string; tokens: number};

/** Description of a prompt that a request carries. */
export type Prompt = {
	model: string;
	/** Parts in order; the last one is specific to the request or its session. */
	parts: readonly PromptPart[];
	/** Total tokens of the prompt. */
	inputTokens: number;
	/** Maximum number of tokens to generate. */
	outputTokens: number;
};

/** Returns the distinct ids, which are hexadecimal, of the parts that other requests may share: all but the last one. */
export const getSharedParts = (parts: readonly PromptPart[]): string[] => {
	const ids = parts.map(({id}) => id.trim().toLowerCase()).filter(id => id !== '');
	return [...new Set(ids.slice(0, -1))];
};
