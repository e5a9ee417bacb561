import {
	sendRaw, startRawServer, writeRaw, type RawHandler,
} from '@gentianlift/http/testing';
import {splitAddress, type Settings} from '@gentianlift/types';
import {startFleet} from './start-fleet.js';

/** An answer as its caller's connection brings it: its status line and fields, in lower case, and what follows them. */
export type RawAnswer = {status: string; fields: string; body: string};

/** A fleet of one host whose services write raw bytes. */
export type RawBookings = {
	/** Sends a booking under a key, and reads its answer as bytes. */
	book: (key: string, body?: string) => Promise<RawAnswer>;
	/** Sends a safe call, and reads its answer as bytes. */
	look: () => Promise<RawAnswer>;
	/** Returns the bookings, and the safe calls, that the services have received. */
	getBookings: () => readonly string[];
	getLooks: () => readonly string[];
	close: () => Promise<void>;
};

const parseAnswer = (text: string): RawAnswer => {
	const end = text.indexOf('\r\n\r\n');
	const fields = text.slice(0, end).toLowerCase();
	return {status: /^http\/1\.1 (?<status>\d+) /v.exec(fields)?.groups?.status ?? '', fields, body: text.slice(end + 4)};
};

/** Number of services in the example. */
const serviceCount = 3;

/** Starts the fleet; its services handle bookings and safe calls by the handler, and say that they are well. */
export const startRawBookings = async (handle: RawHandler, extra: Partial<Settings> = {}): Promise<RawBookings> => {
	const services = await Promise.all(Array.from({length: serviceCount}, async () => startRawServer((socket, request, index) => {
		if (request.startsWith('GET /health')) {
			writeRaw(socket, 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}');
		} else {
			handle(socket, request, index);
		}
	})));
	const fleet = await startFleet(1, extra, services.map(({address}) => address));
	const {host, port} = splitAddress(fleet.hosts[0]!.settings.callerAddress);
	const send = async (line: string, fields: string, body: string): Promise<RawAnswer> => {
		const head = `${line} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${fleet.key}\r\nConnection: close\r\n${fields}Content-Length: ${body.length}\r\n\r\n`;
		return parseAnswer(await sendRaw(port, head + body, host));
	};

	const getRequests = (start: string): string[] => services.flatMap(service => service.getRequests()).filter(request => request.startsWith(start));
	// A host that has just started has no configuration yet.
	for (let isServing = false; !isServing;) {
		// eslint-disable-next-line no-await-in-loop -- The host is asked until it serves.
		const {status} = await send('GET /v1/models', '', '');
		isServing = status === '200';
	}

	return {
		book: async (key, body = '{}') => send('POST /v1/services/orders/cut-orders', `Idempotency-Key: ${key}\r\n`, body),
		look: async () => send('GET /v1/services/orders/stock', '', ''),
		getBookings: () => getRequests('POST /cut-orders'),
		getLooks: () => getRequests('GET /stock'),
		async close() {
			await fleet.close();
			for (const {close} of services) {
				close();
			}
		},
	};
};
