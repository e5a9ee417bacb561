/** A part of a prompt, shared with other requests or not. */
export type PromptPart = {id: string; tokens: number};

/** What a request says of its prompt. */
export type Prompt = {
	model: string;
	/** Parts in order; the last belongs to the request or its session alone. */
	parts: readonly PromptPart[];
	/** Tokens of the whole prompt. */
	inputTokens: number;
	/** Most tokens that may be generated. */
	outputTokens: number;
};
