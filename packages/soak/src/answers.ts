/** Number of events in a streamed answer. */
export const eventsPerStream = 8;

/** Returns the body with which a fake upstream answers a request. */
export const getBody = (attempt: string): string => `answer to ${attempt}\n`;

/** Returns one event, counted from 1, of the stream with which a fake upstream answers a request. */
export const getEvent = (attempt: string, number: number): string => `id: ${number}\ndata: ${attempt}\n\n`;

/** Returns the complete stream with which a fake upstream answers a request. */
export const getStream = (attempt: string): string =>
	Array.from({length: eventsPerStream}, (_, index) => getEvent(attempt, index + 1)).join('');
