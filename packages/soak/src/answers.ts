/** Number of events in a streamed answer. */
export const eventsPerStream = 8;

/** Returns the body with which a fake upstream answers a request. */
export const getBody = (attempt: string): string => `answer to ${attempt}\n`;

/** Returns one event, counted from 1, of the stream with which a fake upstream answers a request. */
export const getEvent = (attempt: string, number: number): string => `id: ${number}\ndata: ${attempt}\n\n`;

/** Events of a resumable stream, as its caller received them. */
export type ReceivedEvents = {numbers: number[]; versions: string[]};

/** Returns one event of a resumable stream, which names the software version that wrote it. */
export const getVersionedEvent = (softwareVersion: string, number: number): string => `id: ${number}\ndata: ${softwareVersion}\n\n`;

const versionedEvent = /id: (?<number>\d+)\ndata: (?<version>\S+)\n\n/gv;

/** Reads the complete events of a resumable stream. */
export const readVersionedEvents = (text: string): ReceivedEvents => {
	const events = [...text.matchAll(versionedEvent)].map(({groups}) => ({number: Number(groups?.number), version: groups?.version ?? ''}));
	return {numbers: events.map(({number}) => number), versions: events.map(({version}) => version)};
};

/** Returns whether events are those of a complete stream, each once and in order. */
export const isWholeStream = ({numbers}: ReceivedEvents): boolean =>
	numbers.length === eventsPerStream && numbers.every((number, index) => number === index + 1);

/** Returns the complete stream with which a fake upstream answers a request. */
export const getStream = (attempt: string): string =>
	Array.from({length: eventsPerStream}, (_, index) => getEvent(attempt, index + 1)).join('');
