import {Buffer} from 'node:buffer';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import type {Address, Milliseconds} from '@gentianlift/types';

/** A server that writes its answers as raw bytes. */
export type RawServer = {
	address: Address;
	/** Returns the heads of the requests that have arrived, with what came of their bodies in the same packet. */
	getRequests: () => readonly string[];
	close: () => void;
};

/** Handles a request: its connection, the text from its first line on, and the number of requests that came before it. */
export type RawHandler = (socket: Socket, request: string, index: number) => void;

const requestStart = /^[A-Z]+ \S+ HTTP\/1\.1\r\n/v;

/** Starts a raw server on a free port of 127.0.0.1; it keeps its side of a connection open when the other one ends. */
export const startRawServer = async (handle: RawHandler): Promise<RawServer> => {
	const requests: string[] = [];
	const sockets = new Set<Socket>();
	const server = createServer({allowHalfOpen: true}, socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', bytes => {
			const text = String(bytes);
			if (requestStart.test(text)) {
				requests.push(text);
				handle(socket, text, requests.length - 1);
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		getRequests: () => requests,
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};

/** Writes the bytes of an answer, one for each character. */
export const writeRaw = (socket: Socket, text: string): void => {
	socket.write(Buffer.from(text, 'latin1'));
};

/** Sends a request as text and returns all bytes that come back until the connection ends, one character for each. */
export const sendRaw = async (port: number, text: string, host = '127.0.0.1'): Promise<string> => new Promise(resolve => {
	const socket = connect(port, host);
	const pieces: Uint8Array[] = [];
	socket.on('data', piece => {
		pieces.push(piece);
	});
	socket.on('error', () => undefined);
	socket.once('close', () => {
		resolve(Buffer.concat(pieces).toString('latin1'));
	});
	socket.write(Buffer.from(text, 'latin1'));
});

/** A body of two bytes, with what marks its end. */
type FramedBody = {name: string; fields: string; body: string};

const framings: FramedBody[] = [
	{name: 'length', fields: 'Content-Length: 2\r\n', body: '{}'},
	{name: 'chunks', fields: 'Transfer-Encoding: chunked\r\n', body: '2\r\n{}\r\n0\r\n\r\n'},
	{name: 'close', fields: 'Connection: close\r\n', body: '{}'},
];

/** Lines of a head that are no fields, as text with one character for each byte. */
export const malformedLines: Readonly<Record<string, string>> = {
	'a blank in a name': 'X A: odd',
	'a tab in a name': 'X\tA: odd',
	'a blank behind a name': 'X-A : odd',
	'a blank before a name': ' X-A: odd',
	'a blank in the name of a length': 'Content Length: 1',
	'a blank behind the name of a coding': 'Transfer-Encoding : chunked',
	'no name': ': odd',
	'no colon': 'odd',
	'byte 0 in a name': 'X\0A: odd',
	'byte 1 in a name': 'X\u0001A: odd',
	'byte 10 before a name': '\nX-A: odd',
	'byte 10 in a name': 'X\nA: odd',
	'byte 13 before a name': '\rX-A: odd',
	'byte 13 in a name': 'X\rA: odd',
	'byte 31 behind a name': 'X-A\u001F: odd',
	'byte 127 in a name': 'X\u007FA: odd',
	'byte 160 behind a name': 'X-A\u00A0: odd',
	'byte 233 in a name': 'X\u00E9A: odd',
	'byte 1 in a value': 'X-A: o\u0001d',
	'byte 13 in a value': 'X-A: o\rd',
};

/** Bodies of two bytes, `{}`, in chunks whose end HTTP doesn't have. */
export const malformedChunks: Readonly<Record<string, string>> = {
	'other bytes behind a chunk': '2\r\n{}XX0\r\n\r\n',
	'another second byte behind a chunk': '2\r\n{}\rX0\r\n\r\n',
	'another second byte behind a size': '2\rX{}\r\n0\r\n\r\n',
	'a line end of one byte': '2\r\n{}\r\n0\r\n\n',
	'another last byte': '2\r\n{}\r\n0\r\n\rX',
	...Object.fromEntries(Object.entries(malformedLines).map(([name, line]) => [`a trailer with ${name}`, `2\r\n{}\r\n0\r\n${line}\r\n\r\n`])),
};

/** The same body in chunks with a sound trailer. */
export const soundChunks = '2\r\n{}\r\n0\r\nX-A: sound\r\n\r\n';

/** Statuses that no final answer has. */
export const unknownStatuses = ['000', '001', '099', '101', '600', '999'] as const;

/** Transfer codings that aren't chunks alone. */
export const unknownCodings = ['gzip', 'identity', 'xchunked', 'chunked, gzip', 'gzip, chunked', 'chunked, chunked', ''] as const;

/** Where a line stands in a head: before or behind the fields that are named. */
const positions = ['before', 'behind'] as const;

/** An answer with a line, or with a sound one, at each place. */
export type OddAnswer = {name: string; text: string; endsWithConnection: boolean};

/** Builds answers with a line in their head: before and behind the other fields, with each framing. */
export const buildOddAnswers = (name: string, line: string, fields: string): OddAnswer[] => framings.flatMap(framing => positions.map(position => {
	const named = `${fields}${framing.fields}`;
	const lines = position === 'before' ? `${line}\r\n${named}` : `${named}${line}\r\n`;
	return {
		name: `${name}, ${position} the other fields, ${framing.name}`,
		text: `HTTP/1.1 200 OK\r\n${lines}\r\n${framing.body}`,
		endsWithConnection: framing.name === 'close',
	};
}));

/** Time after an answer at which its connection ends, in milliseconds, so that its bytes have been read. */
const endDelay: Milliseconds = 20;

/** Creates a handler that writes an answer as text, and ends the connection if that marks the answer's end. */
export const answerText = ({text, endsWithConnection}: Pick<OddAnswer, 'text' | 'endsWithConnection'>) => (socket: Socket): void => {
	writeRaw(socket, text);
	if (endsWithConnection) {
		setTimeout(() => {
			socket.end();
		}, endDelay);
	}
};
