import type {Clock} from '@gentianlift/clock';
import {createJsonClient, type JsonClient} from '@gentianlift/platform';
import type {Address, Milliseconds} from '@gentianlift/types';

/** Clients of other hosts, one connection pool for each address. */
export type PeerClients = {get: (address: Address) => JsonClient};

/** Creates clients whose calls have a timeout. */
export const createPeerClients = (clock: Clock, timeout: Milliseconds): PeerClients => {
	const clients = new Map<Address, JsonClient>();
	return {
		get(address) {
			const known = clients.get(address);
			if (known !== undefined) {
				return known;
			}

			const client = createJsonClient({url: `http://${address}`, clock, timeout});
			clients.set(address, client);
			return client;
		},
	};
};
