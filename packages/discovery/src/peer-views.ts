import type {Clock, Random} from '@gentianlift/clock';
import type {Address, Milliseconds, Snapshot} from '@gentianlift/types';
import {createPeerClients} from './peer-clients.js';

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

/** Path of the call on the address for other hosts. */
export const viewPath = '/v1/view';
/** Timeout of a request to another host. */
const timeout: Milliseconds = 300;

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
