import {upstreamMark, type AnswerHandler} from '../test-deployment.js';

/** Number of events of a test stream. */
export const streamLength = 4;

const streamHead = {...upstreamMark, 'content-type': 'text/event-stream'};
/** Time in milliseconds after which a connection is reset, so that the bytes before have been read. */
const resetDelay = 20;

/** Returns numbered events; their data name what wrote them. */
export const writeEvents = (from: number, to: number, data = 'x'): string =>
	Array.from({length: to - from + 1}, (_, index) => `id: ${from + index}\ndata: ${data}\n\n`).join('');

/** The whole test stream. */
export const wholeStream = writeEvents(1, streamLength);

/** Creates a handler that resets the connection of a stream after event 2, as soon as it may. */
export const createBreakOff = (mayBreakOff: () => boolean): AnswerHandler => (request, response) => {
	response.writeHead(200, streamHead);
	response.write(writeEvents(1, 2), () => {
		const timer = setInterval(() => {
			if (mayBreakOff()) {
				request.socket.resetAndDestroy();
			}
		}, resetDelay);
		request.socket.once('close', () => {
			clearInterval(timer);
		});
	});
};

/** Resets the connection of a stream after event 2. */
export const breakOffStream: AnswerHandler = createBreakOff(() => true);

/** Writes the events after the last one that the caller has. */
export const finishStream: AnswerHandler = (request, response) => {
	response.writeHead(200, streamHead);
	response.end(writeEvents(Number(request.headers['last-event'] ?? 0) + 1, streamLength));
};

/** Creates a handler that answers with a body as a stream of events, whatever the caller has. */
export const streamBody = (body: string): AnswerHandler => (_, response) => {
	response.writeHead(200, streamHead);
	response.end(body);
};
