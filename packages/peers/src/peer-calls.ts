import type {Clock} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {
	Address, HostId, Milliseconds, PeerCalls, PeerOutcome,
} from '@gentianlift/types';
import {createCredentials} from './credentials.js';
import {openPeerLink, type PeerLink} from './peer-link.js';

/** Parts that calls to other hosts need. */
export type PeerCallsOptions = {
	self: HostId;
	keys: readonly string[];
	/** Where another host listens; undefined if it isn't known. */
	getAddress: (host: HostId) => Address | undefined;
	clock: Clock;
	metrics: Metrics;
	/** Longest time that a call takes. */
	timeout: Milliseconds;
	/** Time without a call after which a connection is closed, so that a large fleet keeps few open. */
	idleLimit?: Milliseconds;
};

/** Calls to other hosts, over connections that are opened when first used. */
export type PeerConnections = PeerCalls & {
	/** Closes the connections to hosts that are not in the list. */
	retain: (hosts: readonly HostId[]) => void;
	close: () => void;
};

/** Time before a host that couldn't be reached is tried again. */
const retryDelay: Milliseconds = 250;
const defaultIdleLimit: Milliseconds = 30_000;

type Call<Answer> = (link: PeerLink, signal: AbortSignal) => Promise<Answer>;

/** Creates the calls to other hosts. */
export const createPeerCalls = ({self, keys, getAddress, clock, metrics, timeout, idleLimit = defaultIdleLimit}: PeerCallsOptions): PeerConnections => {
	const {every} = clock;
	const links = new Map<HostId, PeerLink>();
	const usedAt = new Map<HostId, Milliseconds>();
	const failedAt = new Map<HostId, Milliseconds>();

	const drop = (link: PeerLink): void => {
		if (links.get(link.to) === link) {
			links.delete(link.to);
			failedAt.set(link.to, clock.monotonic());
		}
	};

	const open = (to: HostId, address: Address): PeerLink => {
		const link = openPeerLink({
			to, address, silence: timeout, getCredentials: () => createCredentials(keys, self, to, clock.now()),
		});
		links.set(to, link);
		link.lost.addEventListener('abort', () => {
			drop(link);
		}, {once: true});
		return link;
	};

	const countLinks = (): void => {
		metrics.setGauge('peer_connections', links.size);
	};

	const closeIdle = (): void => {
		for (const link of links.values()) {
			if (clock.monotonic() - (usedAt.get(link.to) ?? 0) > idleLimit) {
				// It is taken out first, so that its end doesn't count as a failure of the host.
				links.delete(link.to);
				usedAt.delete(link.to);
				link.close();
			}
		}

		countLinks();
	};

	const cancelIdle = every(idleLimit, closeIdle);

	const getLink = (to: HostId): PeerLink | undefined => {
		const address = getAddress(to);
		const link = links.get(to);
		if (link !== undefined && (address === undefined || address === link.address)) {
			return link;
		}

		link?.close();
		const isResting = clock.monotonic() - (failedAt.get(to) ?? Number.NEGATIVE_INFINITY) < retryDelay;
		return address === undefined || isResting ? undefined : open(to, address);
	};

	const getFailure = <Answer>(link: PeerLink, name: string, reason: string): PeerOutcome<Answer> => {
		const kind = link.wasOpen() ? 'unknown' : 'unreachable';
		metrics.count('peer_call_failures_total', {call: name, kind});
		return {kind, reason};
	};

	const call = async <Answer>(name: string, to: HostId, run: Call<Answer>): Promise<PeerOutcome<Answer>> => {
		const link = getLink(to);
		if (link === undefined) {
			metrics.count('peer_call_failures_total', {call: name, kind: 'unreachable'});
			return {kind: 'unreachable', reason: 'no connection'};
		}

		metrics.count('peer_calls_total', {call: name});
		usedAt.set(to, clock.monotonic());
		countLinks();
		const deadline = new AbortController();
		const cancel = clock.after(timeout, () => {
			deadline.abort();
		});
		try {
			const answer = await run(link, AbortSignal.any([link.lost, deadline.signal]));
			return {kind: 'answered', answer};
		} catch (error) {
			if (deadline.signal.aborted && !link.wasOpen()) {
				link.close();
			}

			return getFailure(link, name, error instanceof Error ? error.message : 'failed');
		} finally {
			cancel();
		}
	};

	return {
		exchangeGrants: async (to, message) => call('exchangeGrants', to, async ({client}, signal) => client.exchangeGrants.mutate(message, {signal})),
		pushGrants: async (to, message) => call('pushGrants', to, async ({client}, signal) => client.pushGrants.mutate(message, {signal})),
		exchangeQuota: async (to, message) => call('exchangeQuota', to, async ({client}, signal) => client.exchangeQuota.mutate(message, {signal})),
		claim: async (to, message) => call('claim', to, async ({client}, signal) => client.claim.mutate(message, {signal})),
		settleClaim: async (to, message) => call('settleClaim', to, async ({client}, signal) => client.settleClaim.mutate(message, {signal})),
		readConfiguration: async (to, message) => call('readConfiguration', to, async ({client}, signal) => client.readConfiguration.mutate(message, {signal})),
		readPlacementFacts: async (to, message) => call('readPlacementFacts', to, async ({client}, signal) => client.readPlacementFacts.mutate(message, {signal})),
		readAccount: async (to, message) => call('readAccount', to, async ({client}, signal) => client.readAccount.mutate(message, {signal})),
		retain(hosts) {
			const kept = new Set(hosts);
			for (const link of links.values()) {
				if (!kept.has(link.to)) {
					link.close();
				}
			}
		},
		close() {
			cancelIdle();
			for (const link of links.values()) {
				link.close();
			}
		},
	};
};
