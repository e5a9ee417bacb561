import type {ServerResponse} from 'node:http';

/** Returns the digit with which an id ends, 0 if it ends otherwise; it spreads the kinds of answers over requests. */
const getLastDigit = (attempt: string): number => Number(/\d$/v.exec(attempt)?.[0] ?? 0);

const writeJson = (response: ServerResponse, status: number): void => {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end('{"error":"test"}');
};

const writeStream = (response: ServerResponse, events: string): void => {
	response.writeHead(200, {'content-type': 'text/event-stream'});
	response.end(events);
};

const refusals: ReadonlyArray<(response: ServerResponse) => void> = [
	response => {
		writeJson(response, 404);
	},
	response => {
		writeJson(response, 200);
	},
	response => {
		writeStream(response, 'event: error\ndata: test\n\n');
	},
	response => {
		writeStream(response, '');
	},
	response => {
		response.writeHead(204);
		response.end();
	},
];

/** Answers a request to go on with a stream by something that doesn't go on with it. */
export const refuseResume = (attempt: string, response: ServerResponse): void => {
	refusals[getLastDigit(attempt) % refusals.length]?.(response);
};

/** Writes a part of an answer's head, and closes or resets the connection. */
export const cutHead = (attempt: string, headers: Record<string, string>, response: ServerResponse): void => {
	const lines = ['HTTP/1.1 200 OK', ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), 'Content-Length: 0'];
	const digit = getLastDigit(attempt);
	const head = lines.join('\r\n');
	const {socket} = response;
	socket?.write(head.slice(0, Math.ceil(head.length * (digit + 1) / 10)), () => {
		if (digit % 2 === 0) {
			socket.end();
		} else {
			socket.resetAndDestroy();
		}
	});
};
