import {Buffer} from 'node:buffer';
import type {AddressInfo, Socket} from 'node:net';
import {createServer} from 'node:http';
import {createTRPCClient, createWSClient, wsLink} from '@trpc/client';
import {initTRPC} from '@trpc/server';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import {WebSocket, WebSocketServer} from 'ws';

/** Bytes in both directions over TCP, without TCP and IP headers. */
export type ExchangeBytes = {
	/** Bytes of opening a connection and of the first exchange. */
	first: number;
	/** Average bytes of a further exchange over the same connection. */
	further: number;
};

const furtherExchanges = 100;

const createPacket = (size: number): string => Buffer.alloc(size, 1).toString('base64');

const createRouter = (size: number) => {
	const {router, procedure} = initTRPC.create();
	return router({
		ping: procedure.input((value: unknown) => value as {packet: string}).mutation(() => ({packet: createPacket(size)})),
	});
};

const sumSocketBytes = (sockets: Iterable<Socket>): number => [...sockets].reduce((sum, {bytesRead, bytesWritten}) => sum + bytesRead + bytesWritten, 0);

/** Measures the traffic of tRPC over a WebSocket for exchanges of two packets of `size` bytes each; tRPC carries them in base64. */
export const measureTrpcExchange = async (size: number): Promise<ExchangeBytes> => {
	const server = createServer();
	const sockets = new Set<Socket>();
	server.on('connection', socket => {
		sockets.add(socket);
	});
	applyWSSHandler({wss: new WebSocketServer({server}), router: createRouter(size)});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const connection = createWSClient({url: `ws://127.0.0.1:${port}`, WebSocket: WebSocket as unknown as typeof globalThis.WebSocket});
	const client = createTRPCClient<ReturnType<typeof createRouter>>({links: [wsLink({client: connection})]});
	await client.ping.mutate({packet: createPacket(size)});
	const first = sumSocketBytes(sockets);
	for (let exchangeIndex = 0; exchangeIndex < furtherExchanges; exchangeIndex++) {
		// eslint-disable-next-line no-await-in-loop -- Exchanges run one after another, as membership probes do.
		await client.ping.mutate({packet: createPacket(size)});
	}

	const further = (sumSocketBytes(sockets) - first) / furtherExchanges;
	await connection.close();
	server.closeAllConnections();
	server.close();
	return {first, further};
};
