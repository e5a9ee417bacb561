import type {Clock, Random} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {JsonOutcome} from '@gentianlift/platform';
import type {Address, Snapshot} from '@gentianlift/types';
import {isSnapshot} from './checked-entries.js';
import {createPeerClients} from './peer-clients.js';

/** Client that reads the view of the fleet from other hosts. */
export type PeerViewClient = {
	/** Reads the view of a randomly chosen host, of one that knows something newer than the revision if there is one; returns undefined if the host knows nothing newer or doesn't answer. */
	fetchNewer: (revision: number) => Promise<Snapshot | undefined>;
};

/** Options of the client. */
export type PeerViewClientOptions = {
	/** Addresses of other hosts, from the settings and the store. */
	getAddresses: () => Address[];
	/** Addresses of hosts that have reported a newer revision. */
	getAddressesAhead: (revision: number) => Address[];
	clock: Clock;
	random: Random;
	logger: Logger;
};

/** Path of the call on the address for other hosts. */
export const viewPath = '/v1/view';
/** Time limits of a request to another host; a view may be large, and links slow. */
const timeouts = {timeout: 300, bodyTimeout: 3000} as const;

/** Returns why a call brought no answer; undefined if it did. */
const getFailureReason = (outcome: JsonOutcome): string | undefined => outcome.kind === 'answered' ? undefined : outcome.reason;

/** Creates a client that keeps one connection pool for each other host. */
export const createPeerViewClient = ({
	getAddresses, getAddressesAhead, clock, random, logger,
}: PeerViewClientOptions): PeerViewClient => {
	const clients = createPeerClients(clock, timeouts);
	return {
		async fetchNewer(revision) {
			const addresses = getAddresses();
			const address = random.pick(getAddressesAhead(revision)) ?? random.pick(addresses);
			if (address === undefined) {
				return undefined;
			}

			const askedAt = clock.monotonic();
			const outcome = await clients.get(address, addresses).call({method: 'GET', path: `${viewPath}?after=${revision}`});
			const reason = getFailureReason(outcome);
			if (reason !== undefined) {
				logger.info('view-not-read', {
					address, reason, known: revision, after: Math.round(clock.monotonic() - askedAt),
				});
			}

			return outcome.kind === 'answered' && isSnapshot(outcome.body) ? outcome.body : undefined;
		},
	};
};
