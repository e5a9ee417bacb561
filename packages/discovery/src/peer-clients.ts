import type {Clock} from '@gentianlift/clock';
import {createJsonClient, type JsonClient} from '@gentianlift/platform';
import type {Address, Milliseconds} from '@gentianlift/types';

/** Clients of other hosts, one connection pool for each address. */
export type PeerClients = {
	/** Returns the client of an address; clients of addresses that are no longer in use are closed. */
	get: (address: Address, inUse: readonly Address[]) => JsonClient;
};

/** Time limits of the calls of peer clients; see `PlatformClientOptions`. */
export type PeerTimeouts = {timeout: Milliseconds; bodyTimeout?: Milliseconds};

/** Creates clients whose calls have time limits. */
export const createPeerClients = (clock: Clock, timeouts: PeerTimeouts): PeerClients => {
	const clients = new Map<Address, JsonClient>();

	const closeUnused = (inUse: readonly Address[]): void => {
		for (const [address, client] of clients) {
			if (!inUse.includes(address)) {
				client.close();
				clients.delete(address);
			}
		}
	};

	return {
		get(address, inUse) {
			closeUnused(inUse);
			const known = clients.get(address);
			if (known !== undefined) {
				return known;
			}

			const client = createJsonClient({
				url: `http://${address}`, clock, acceptsCompression: true, ...timeouts,
			});
			clients.set(address, client);
			return client;
		},
	};
};
