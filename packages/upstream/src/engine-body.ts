/** Output already received from another engine, after which the next engine continues. */
export type GenerationProgress = {text: string; tokens: number};

/** Converts a caller's request body into the JSON body for an engine, which always requests a stream with usage and includes the output to continue, if any. */
export const getEngineBody = (callerBody: Record<string, unknown>, resume?: GenerationProgress): string => {
	const body = {...callerBody, stream: true, stream_options: {include_usage: true}};
	return JSON.stringify(resume === undefined ? body : {...body, resume});
};
