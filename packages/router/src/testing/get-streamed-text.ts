/** Event of a streamed chat completion. */
type CompletionEvent = {choices: Array<{delta: {content?: string}}>};

const dataPrefix = 'data: ';

/** Returns the text of a streamed chat completion, from the body of its response. Throws if it has an error event. */
export const getStreamedText = (body: string): string => body.split('\n\n')
	.filter(event => event.startsWith(`${dataPrefix}{`))
	.map(event => (JSON.parse(event.slice(dataPrefix.length)) as CompletionEvent).choices[0]?.delta.content ?? '')
	.join('');
