import type {Clock} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {
	Address, HostId, Milliseconds, PeerCalls, PeerOutcome,
} from '@gentianlift/types';
import {createCredentials} from './credentials.js';
import {openPeerConnection, type PeerConnection} from './peer-connection.js';

/** Dependencies and options of `createPeerCalls`. */
export type PeerCallsOptions = {
	self: HostId;
	keys: readonly string[];
	/** Returns the address at which another host listens; undefined if it is unknown. */
	getAddress: (host: HostId) => Address | undefined;
	clock: Clock;
	metrics: Metrics;
	/** Timeout of a call, and of the keep-alive of its connection. */
	timeout: Milliseconds;
	/** Time without a call after which a connection is closed, so that hosts of a large fleet keep few connections open. */
	idleTimeout?: Milliseconds;
};

/** Calls to other hosts over connections that are opened on demand. */
export type PeerConnections = PeerCalls & {
	/** Closes the connections to all hosts that are not listed. */
	closeAllExcept: (hosts: readonly HostId[]) => void;
	close: () => void;
};

/** Delay after a lost connection to a host before another one is opened. */
const retryDelay: Milliseconds = 250;
const defaultIdleTimeout: Milliseconds = 30_000;

type Invocation<Answer> = (connection: PeerConnection, signal: AbortSignal) => Promise<Answer>;

/** Creates the calls to other hosts. */
export const createPeerCalls = ({self, keys, getAddress, clock, metrics, timeout, idleTimeout = defaultIdleTimeout}: PeerCallsOptions): PeerConnections => {
	const {every} = clock;
	const connections = new Map<HostId, PeerConnection>();
	const lastUsedAt = new Map<HostId, Milliseconds>();
	/** Connections with calls in flight, which aren't idle however long these last, and the number of the calls. */
	const callsInFlight = new Map<PeerConnection, number>();
	const lastFailedAt = new Map<HostId, Milliseconds>();

	const removeLostConnection = (connection: PeerConnection): void => {
		if (connections.get(connection.to) === connection) {
			connections.delete(connection.to);
			lastFailedAt.set(connection.to, clock.monotonic());
		}
	};

	const openConnection = (to: HostId, address: Address): PeerConnection => {
		const connection = openPeerConnection({
			to, address, silenceTimeout: timeout, getCredentials: () => createCredentials(keys, self, to, clock.now()),
		});
		connections.set(to, connection);
		connection.lost.addEventListener('abort', () => {
			removeLostConnection(connection);
		}, {once: true});
		return connection;
	};

	const updateConnectionGauge = (): void => {
		metrics.setGauge('peer_connections', connections.size);
	};

	const changeCallsInFlight = (connection: PeerConnection, change: number): void => {
		const count = (callsInFlight.get(connection) ?? 0) + change;
		lastUsedAt.set(connection.to, clock.monotonic());
		if (count > 0) {
			callsInFlight.set(connection, count);
		} else {
			callsInFlight.delete(connection);
		}
	};

	const closeIdleConnections = (): void => {
		for (const connection of connections.values()) {
			if (!callsInFlight.has(connection) && clock.monotonic() - (lastUsedAt.get(connection.to) ?? 0) > idleTimeout) {
				// The connection is removed before it is closed, so that closing it isn't recorded as a failure of the host.
				connections.delete(connection.to);
				lastUsedAt.delete(connection.to);
				connection.close();
			}
		}

		updateConnectionGauge();
	};

	const cancelIdleCheck = every(idleTimeout, closeIdleConnections);

	const getConnection = (to: HostId): PeerConnection | undefined => {
		const address = getAddress(to);
		const connection = connections.get(to);
		if (connection !== undefined && (address === undefined || address === connection.address)) {
			return connection;
		}

		connection?.close();
		const isBackingOff = clock.monotonic() - (lastFailedAt.get(to) ?? Number.NEGATIVE_INFINITY) < retryDelay;
		return address === undefined || isBackingOff ? undefined : openConnection(to, address);
	};

	/** Counts a failed call. Its outcome is unknown if the connection was open, since the other host may have executed the call. */
	const recordFailure = <Answer>(connection: PeerConnection, procedure: string, reason: string): PeerOutcome<Answer> => {
		const kind = connection.hasOpened() ? 'unknown' : 'unreachable';
		metrics.count('peer_call_failures_total', {call: procedure, kind});
		return {kind, reason};
	};

	const callPeer = async <Answer>(procedure: string, to: HostId, invoke: Invocation<Answer>): Promise<PeerOutcome<Answer>> => {
		const connection = getConnection(to);
		if (connection === undefined) {
			metrics.count('peer_call_failures_total', {call: procedure, kind: 'unreachable'});
			return {kind: 'unreachable', reason: 'no connection'};
		}

		metrics.count('peer_calls_total', {call: procedure});
		changeCallsInFlight(connection, 1);
		updateConnectionGauge();
		const timeoutController = new AbortController();
		const cancelTimeout = clock.after(timeout, () => {
			timeoutController.abort();
		});
		try {
			const answer = await invoke(connection, AbortSignal.any([connection.lost, timeoutController.signal]));
			return {kind: 'answered', answer};
		} catch (error) {
			if (timeoutController.signal.aborted && !connection.hasOpened()) {
				connection.close();
			}

			return recordFailure(connection, procedure, error instanceof Error ? error.message : 'failed');
		} finally {
			cancelTimeout();
			changeCallsInFlight(connection, -1);
		}
	};

	return {
		exchangeGrants: async (to, message) => callPeer('exchangeGrants', to, async ({client}, signal) => client.exchangeGrants.mutate(message, {signal})),
		pushGrants: async (to, message) => callPeer('pushGrants', to, async ({client}, signal) => client.pushGrants.mutate(message, {signal})),
		exchangeQuota: async (to, message) => callPeer('exchangeQuota', to, async ({client}, signal) => client.exchangeQuota.mutate(message, {signal})),
		claim: async (to, message) => callPeer('claim', to, async ({client}, signal) => client.claim.mutate(message, {signal})),
		settleClaim: async (to, message) => callPeer('settleClaim', to, async ({client}, signal) => client.settleClaim.mutate(message, {signal})),
		readConfiguration: async (to, message) => callPeer('readConfiguration', to, async ({client}, signal) => client.readConfiguration.mutate(message, {signal})),
		readPlacementFacts: async (to, message) => callPeer('readPlacementFacts', to, async ({client}, signal) => client.readPlacementFacts.mutate(message, {signal})),
		readAccount: async (to, message) => callPeer('readAccount', to, async ({client}, signal) => client.readAccount.mutate(message, {signal})),
		closeAllExcept(hosts) {
			const retained = new Set(hosts);
			for (const connection of connections.values()) {
				if (!retained.has(connection.to)) {
					connection.close();
				}
			}
		},
		close() {
			cancelIdleCheck();
			for (const connection of connections.values()) {
				connection.close();
			}
		},
	};
};
