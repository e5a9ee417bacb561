import {WebSocketServer} from 'ws';
import {TRPCError} from '@trpc/server';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import type {Clock} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {Address, HostId, PeerHandlers} from '@gentianlift/types';
import {areValidCredentials} from './credentials.js';
import {createPeerRouter, type PeerContext} from './peer-router.js';

/** Dependencies and options of the peer server. */
export type PeerServerOptions = {
	self: HostId;
	address: Address;
	keys: readonly string[];
	handlers: PeerHandlers;
	clock: Clock;
	metrics: Metrics;
};

/** Server that answers the calls of other hosts. */
export type PeerServer = {
	close: () => Promise<void>;
};

/** Maximum size of a message between hosts; a configuration can take up to 1 MB. */
const maxMessageBytes = 4 * 1024 * 1024;

/** Starts the peer server. Rejects if it can't listen on the address. */
export const startPeerServer = async ({self, address, keys, handlers, clock, metrics}: PeerServerOptions): Promise<PeerServer> => {
	const {hostname, port} = new URL(`ws://${address}`);
	const server = new WebSocketServer({host: hostname, port: Number(port), maxPayload: maxMessageBytes});

	const createContext = ({info}: {info: {connectionParams: unknown}}): PeerContext => {
		const credentials = info.connectionParams ?? {};
		if (areValidCredentials(keys, credentials, self, clock.now())) {
			return {from: credentials.from};
		}

		metrics.count('peer_strangers_total');
		throw new TRPCError({code: 'UNAUTHORIZED'});
	};

	applyWSSHandler({
		wss: server,
		router: createPeerRouter(handlers),
		createContext,
		onError({error, path}) {
			metrics.count('peer_handler_errors_total', {path: path ?? '', code: error.code});
		},
	});

	await new Promise<void>((resolve, reject) => {
		server.once('listening', resolve);
		server.once('error', reject);
	});
	server.on('error', () => {
		metrics.count('peer_server_errors_total');
	});

	return {
		async close() {
			for (const client of server.clients) {
				client.terminate();
			}

			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
};
