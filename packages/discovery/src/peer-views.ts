import {createServer, type Server} from 'node:http';
import type {Clock, Random} from '@gentianlift/clock';
import {createJsonClient, type JsonClient} from '@gentianlift/platform';
import type {Address, Milliseconds, Snapshot} from '@gentianlift/types';
import type {FleetView} from './fleet-view.js';

/** Asks other hosts for their view of the fleet. */
export type PeerViews = {
	/** Gets what one of the other hosts knows beyond the revision; undefined if it knows nothing newer or doesn't answer. */
	ask: (revision: number) => Promise<Snapshot | undefined>;
};

/** What asking works with. */
export type PeerViewsOptions = {
	/** Addresses of other hosts, from the settings and the key-value service. */
	getAddresses: () => Address[];
	clock: Clock;
	random: Random;
};

const viewPath = '/v1/view';
const timeout: Milliseconds = 300;
const notNewer = 204;

const isSnapshot = (body: unknown): body is Snapshot => {
	const {entries, revision} = (body ?? {}) as Partial<Snapshot>;
	return Array.isArray(entries) && typeof revision === 'number';
};

/** Creates a client of the other hosts' views. */
export const createPeerViews = ({getAddresses, clock, random}: PeerViewsOptions): PeerViews => {
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
		async ask(revision) {
			const address = random.pick(getAddresses());
			if (address === undefined) {
				return undefined;
			}

			const outcome = await getClient(address).call({method: 'GET', path: `${viewPath}?after=${revision}`});
			return outcome.kind === 'answered' && isSnapshot(outcome.body) ? outcome.body : undefined;
		},
	};
};

/** Creates the server that tells other hosts this host's view. */
export const createViewServer = (view: FleetView): Server => createServer((request, response) => {
	const {pathname, searchParams} = new URL(request.url ?? '/', 'http://host');
	const after = Number(searchParams.get('after') ?? 0);
	if (pathname !== viewPath || view.getRevision() <= after) {
		response.writeHead(notNewer);
		response.end();
		return;
	}

	response.writeHead(200, {'content-type': 'application/json'});
	response.end(JSON.stringify(view.getSnapshot()));
});
