import {createServer, type Server} from 'node:http';
import type {Clock, Random} from '@gentianlift/clock';
import {createJsonClient, type JsonClient} from '@gentianlift/platform';
import type {Address, Milliseconds, Snapshot} from '@gentianlift/types';
import type {FleetView} from './fleet-view.js';

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
	const clients = new Map<Address, JsonClient>();

	const getClient = (address: Address): JsonClient => {
		const known = clients.get(address);
		if (known !== undefined) {
			return known;
		}

		const client = createJsonClient({url: `http://${address}`, clock, timeout});
		clients.set(address, client);
		return client;
	};

	return {
		async fetchNewer(revision) {
			const address = random.pick(getAddresses());
			if (address === undefined) {
				return undefined;
			}

			const outcome = await getClient(address).call({method: 'GET', path: `${viewPath}?after=${revision}`});
			return outcome.kind === 'answered' && isSnapshot(outcome.body) ? outcome.body : undefined;
		},
	};
};

/** Creates the server that answers other hosts with this host's view, or with no content if it isn't newer than theirs. */
export const createViewServer = (view: FleetView): Server => createServer((request, response) => {
	const {pathname, searchParams} = new URL(request.url ?? '/', 'http://host');
	const after = Number(searchParams.get('after') ?? 0);
	if (pathname !== viewPath || view.getRevision() <= after) {
		response.writeHead(noContent);
		response.end();
		return;
	}

	response.writeHead(200, {'content-type': 'application/json'});
	response.end(JSON.stringify(view.getSnapshot()));
});
