import {createManualClock, type ManualClock} from '@gentianlift/clock';
import type {DutyOutcome, UsageReport} from '@gentianlift/duties';
import {createSilentLogger} from '@gentianlift/logger';
import {createMetrics, type Metrics} from '@gentianlift/metrics';
import type {Entry, HostId, WriteOutcome} from '@gentianlift/types';
import {createUsageReports, type UsageReports} from './usage-reports.js';

/** Length of a window, and the time within which its report is due, in milliseconds. */
export const testSettings = {usageWindow: 5000, usageDelay: 10_000} as const;

type Listener = (from: HostId, body: unknown) => void;
type TestHost = UsageReports & {metrics: Metrics; jump: (by: number) => void};

/** What the store does with a write: `lose-answer` applies it, `lose-write` doesn't; both answer nothing. */
export type StoreMode = 'up' | 'down' | 'lose-answer' | 'lose-write';

/** A fleet with a store, the operators' service and messages that arrive at once. */
export type TestFleet = {
	clock: ManualClock;
	/** Names of the holder of the duty, and of the candidates. */
	holder: HostId | undefined;
	candidates: HostId[];
	storeMode: StoreMode;
	/** Answer of the service to each report from now on. */
	outcome: DutyOutcome;
	/** Reports that have come to the service. */
	received: UsageReport[];
	/** Number of writes that have come to the store. */
	writes: number;
	entry: Entry | undefined;
	start: (host: HostId) => TestHost;
	kill: (host: HostId) => void;
	/** Delivers a message to a host. */
	deliver: (to: HostId, body: unknown) => void;
};

const startTime = 1_000_000_000;

/** Creates a fleet without hosts. */
export const createTestFleet = (): TestFleet => {
	const clock = createManualClock(startTime);
	const listeners = new Map<HostId, Listener[]>();
	const hosts = new Map<HostId, {incarnation: number; stop: () => void}>();
	let revision = 10;

	const compareAndSwap = async ({key, value, expected}: {key: string; value: string; expected: number}): Promise<WriteOutcome> => {
		fleet.writes += 1;
		if (fleet.storeMode === 'down') {
			return {kind: 'unavailable', reason: 'down'};
		}

		const current = fleet.entry?.revision ?? 0;
		if (current !== expected) {
			return {kind: 'rejected', revision: current};
		}

		if (fleet.storeMode !== 'lose-write') {
			revision += 1;
			fleet.entry = {key, value, revision};
		}

		return fleet.storeMode === 'up' ? {kind: 'applied', revision} : {kind: 'unknown', reason: 'lost'};
	};

	const kill = (host: HostId): void => {
		const killed = hosts.get(host);
		// Gone before it stops, so that its last messages are lost.
		hosts.delete(host);
		listeners.delete(host);
		killed?.stop();
	};

	const deliver = (to: HostId, body: unknown): void => {
		for (const listener of listeners.get(to) ?? []) {
			listener('', structuredClone(body));
		}
	};

	const fleet: TestFleet = {
		clock,
		holder: undefined,
		candidates: [],
		storeMode: 'up',
		outcome: {kind: 'accepted'},
		received: [],
		writes: 0,
		entry: undefined,
		kill,
		deliver,
		start(host) {
			kill(host);
			const metrics = createMetrics();
			const self = {host, incarnation: clock.now()};
			let deviation = 0;
			const reports = createUsageReports({
				self,
				duties: {
					isHeld: () => fleet.holder === host,
					getCandidates: () => fleet.candidates,
					async reportUsage(report) {
						if (fleet.holder !== host) {
							return {kind: 'not-held'};
						}

						fleet.received.push(structuredClone(report));
						return fleet.outcome;
					},
					orderCapacity: async () => ({kind: 'not-held'}),
					stop: async () => undefined,
				},
				settings: testSettings,
				messages: {
					send(_topic, body, to) {
						for (const other of hosts.has(host) ? to : []) {
							deliver(other, body);
						}
					},
					listen(_topic, listener) {
						listeners.set(host, [...(listeners.get(host) ?? []), listener]);
					},
				},
				getSources: () => [...hosts].map(([other, {incarnation}]) => ({host: other, incarnation})),
				store: {compareAndSwap},
				getEntry: () => fleet.entry,
				getRevision: () => revision,
				clock: {...clock, now: () => clock.now() + deviation},
				logger: createSilentLogger(),
				metrics,
				onFailure(error) {
					throw error;
				},
			});
			hosts.set(host, {incarnation: self.incarnation, stop: reports.stop});
			return {
				...reports,
				metrics,
				jump(by) {
					deviation += by;
				},
			};
		},
	};
	return fleet;
};
