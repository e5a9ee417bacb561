import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/** An HTTP request with its response. */
export type Exchange = {
	request: IncomingMessage;
	response: ServerResponse;
	method: string;
	url: URL;
};

/** HTTP server that can crash and restart on the same port. */
export type Listener = {
	address: string;
	url: string;
	/** Resets all connections and stops listening. */
	crash: () => Promise<void>;
	/** Listens again on the same port. */
	restart: () => Promise<void>;
	/** Stops listening and waits for the requests in flight. */
	close: () => Promise<void>;
	/** Returns the number of open connections. */
	countConnections: () => number;
};

/** Port and IP address to listen on; by default a free port (0) of the loopback interface. */
export type ListenOptions = {port?: number; host?: string};

const loopbackAddress = '127.0.0.1';
/** Maximum number of connections that wait to be accepted. */
const connectionBacklog = 16_384;

/** Reads a request's body as text. */
export const readBody = async (request: IncomingMessage): Promise<string> => {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks).toString();
};

/** Reads a request's JSON body; returns undefined if it is empty or malformed. */
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

/** Starts an HTTP server; a handler that throws closes its connection. */
export const createListener = async (options: ListenOptions, handle: (exchange: Exchange) => Promise<void>): Promise<Listener> => {
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

	const host = options.host ?? loopbackAddress;
	const listen = async (port: number): Promise<number> => new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen({port, host, backlog: connectionBacklog}, () => {
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

	const port = await listen(options.port ?? 0);
	return {
		address: `${host}:${port}`,
		url: `http://${host}:${port}`,
		crash,
		async restart() {
			await listen(port);
		},
		close,
		countConnections: () => sockets.size,
	};
};
