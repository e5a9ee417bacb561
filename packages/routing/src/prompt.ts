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

/** Parts of a prompt that are considered; those that follow count as tokens that are cached nowhere. The choice of an upstream looks up each of them at each upstream. */
export const maxPromptParts = 128;
/** Characters of the id of a part, and of the name of a model, that are considered. */
const maxNameLength = 64;

/** Returns the considered part of an id or a name. */
export const limitName = (name: string): string => name.slice(0, maxNameLength);

/** Returns the parts of a prompt that are considered. */
export const limitParts = (parts: readonly PromptPart[]): PromptPart[] => parts.slice(0, maxPromptParts).map(({id, tokens}) => ({id: limitName(id), tokens}));

/** Returns the distinct ids, which are hexadecimal, of the parts that other requests may share: all but the last one. */
export const getSharedParts = (parts: readonly PromptPart[]): string[] => {
	const ids = parts.map(({id}) => id.trim().toLowerCase()).filter(id => id !== '');
	return [...new Set(ids.slice(0, -1))];
};
