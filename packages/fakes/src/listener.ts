import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/** One request and its answer. */
export type Exchange = {
	request: IncomingMessage;
	response: ServerResponse;
	method: string;
	url: URL;
};

/** A server on a loopback port that can crash and come back under the same port. */
export type Listener = {
	address: string;
	url: string;
	/** Ends all connections at once and refuses new ones. */
	crash: () => Promise<void>;
	restart: () => Promise<void>;
	/** Closes the port after the exchanges under way. */
	close: () => Promise<void>;
	/** Connections open now. */
	getConnections: () => number;
};

/** Port and IP address to listen on; port 0 lets the system choose. */
export type Place = {port?: number; host?: string};

const loopback = '127.0.0.1';
const backlog = 16_384;

/** Reads a whole body. */
export const readBody = async (request: IncomingMessage): Promise<string> => {
	const parts: Uint8Array[] = [];
	for await (const part of request) {
		parts.push(part as Uint8Array);
	}

	return Buffer.concat(parts).toString();
};

/** Reads a JSON body; undefined if it is empty or not valid. */
export const readJson = async (request: IncomingMessage): Promise<unknown> => {
	const body = await readBody(request);
	try {
		return JSON.parse(body) as unknown;
	} catch {
		return undefined;
	}
};

/** Sends a JSON answer. */
export const sendJson = (response: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void => {
	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers});
	response.end(text);
};

/** Sends an answer without a body. */
export const sendEmpty = (response: ServerResponse, status: number): void => {
	response.writeHead(status);
	response.end();
};

const createExchange = (request: IncomingMessage, response: ServerResponse): Exchange => ({
	request, response, method: request.method ?? 'GET', url: new URL(request.url ?? '/', 'http://fake'),
});

/** Listens on a loopback port. */
export const createListener = async (place: Place, handle: (exchange: Exchange) => Promise<void>): Promise<Listener> => {
	const sockets = new Set<Socket>();
	const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		try {
			await handle(createExchange(request, response));
		} catch {
			response.destroy();
		}
	};

	const server = createServer({keepAliveTimeout: 60_000, requestTimeout: 0}, (request, response) => {
		void serve(request, response);
	});
	server.on('connection', socket => {
		sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			sockets.delete(socket);
		});
	});

	const host = place.host ?? loopback;
	const listen = async (port: number): Promise<number> => new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen({port, host, backlog}, () => {
			server.off('error', reject);
			resolve((server.address() as AddressInfo).port);
		});
	});
	const close = async (): Promise<void> => new Promise(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeIdleConnections();
	});
	const crash = async (): Promise<void> => {
		const closed = close();
		for (const socket of sockets) {
			socket.resetAndDestroy();
		}

		await closed;
	};

	const port = await listen(place.port ?? 0);
	return {
		address: `${host}:${port}`,
		url: `http://${host}:${port}`,
		crash,
		async restart() {
			await listen(port);
		},
		close,
		getConnections: () => sockets.size,
	};
};
