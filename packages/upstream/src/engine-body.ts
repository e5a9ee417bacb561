/** Output that another engine already delivered, after which the next one goes on. */
export type Resume = {text: string; tokens: number};

/** Gets the JSON body for an engine from a caller's: always a stream with usage, with the output so far if there is some. */
export const getEngineBody = (callerBody: Record<string, unknown>, resume?: Resume): string => {
	const body = {...callerBody, stream: true, stream_options: {include_usage: true}};
	return JSON.stringify(resume === undefined ? body : {...body, resume});
};
