import {createServer, type Server, type ServerResponse} from 'node:http';
import type {Clock, Random} from '@gentianlift/clock';
import type {StreamOrigin} from '@gentianlift/routing';
import type {Address, Milliseconds, Snapshot} from '@gentianlift/types';
import type {FleetView} from './fleet-view.js';
import {createPeerClients} from './peer-clients.js';
import {decodeOriginQuery, streamOriginPath, type OriginQuery} from './stream-origin-calls.js';

/** Client that reads the view of the fleet from other hosts. */
export type PeerViewClient = {
	/** Reads the view of a randomly chosen host; returns undefined if that host knows nothing newer than the revision or doesn't answer. */
	fetchNewer: (revision: number) => Promise<Snapshot | undefined>;
};

/** Options of the client. */
export type PeerViewClientOptions = {
	/** Addresses of other hosts, from the settings and the store. */
	getAddresses: () => Address[];
	clock: Clock;
	random: Random;
};

const viewPath = '/v1/view';
/** Timeout of a request to another host. */
const timeout: Milliseconds = 300;
const noContent = 204;

const isSnapshot = (body: unknown): body is Snapshot => {
	const {entries, revision} = (body ?? {}) as Partial<Snapshot>;
	return Array.isArray(entries) && typeof revision === 'number';
};

/** Creates a client that keeps one connection pool for each other host. */
export const createPeerViewClient = ({getAddresses, clock, random}: PeerViewClientOptions): PeerViewClient => {
	const clients = createPeerClients(clock, timeout);
	return {
		async fetchNewer(revision) {
			const addresses = getAddresses();
			const address = random.pick(addresses);
			if (address === undefined) {
				return undefined;
			}

			const outcome = await clients.get(address, addresses).call({method: 'GET', path: `${viewPath}?after=${revision}`});
			return outcome.kind === 'answered' && isSnapshot(outcome.body) ? outcome.body : undefined;
		},
	};
};

/** What other hosts may ask for. */
export type PeerServerOptions = {
	view: FleetView;
	/** Returns the origin of a stream if this host knows it. */
	findStreamOrigin: (query: OriginQuery) => StreamOrigin | undefined;
};

const sendJson = (response: ServerResponse, body: unknown): void => {
	if (body === undefined) {
		response.writeHead(noContent);
		response.end();
		return;
	}

	response.writeHead(200, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
};

/** Creates the server for other hosts: it answers with this host's view if that is newer than theirs, and with the origins of streams. */
export const createPeerServer = ({view, findStreamOrigin}: PeerServerOptions): Server => createServer((request, response) => {
	const {pathname, searchParams} = new URL(request.url ?? '/', 'http://host');
	switch (pathname) {
		case viewPath: {
			const after = Number(searchParams.get('after') ?? 0);
			sendJson(response, view.getRevision() > after ? view.getSnapshot() : undefined);
			break;
		}

		case streamOriginPath: {
			sendJson(response, findStreamOrigin(decodeOriginQuery(searchParams)));
			break;
		}

		default: {
			sendJson(response, undefined);
		}
	}
});
