import {createManualClock, type ManualClock, createRandom} from '@gentianlift/clock';
import {createOrders, getEngineSettings, type Orders} from '@gentianlift/fakes';
import {
	acquireTerm, defaultTiming, fencingKey, getValidUntil, holderKey, mayOrder, type AcquireOutcome, type Term,
} from '@gentianlift/placement';
import {createMemoryKeyValue, type MemoryKeyValue} from '@gentianlift/platform';
import type {
	EngineOrder, Fencing, KeyValueService, WriteOutcome,
} from '@gentianlift/types';
import {
	hosts, type HostName, type LeaseEvent, type Order, type ReplyKind,
} from './state.js';

type CompareAndSwap = Parameters<KeyValueService['compareAndSwap']>[0];

/** Host that runs the code of the placement package; each of its service calls blocks until an event of the trace releases it. */
type Host = {
	clock: ManualClock;
	blockedCalls: Array<() => void>;
	reply: ReplyKind;
	isEndLost: boolean;
	outcome: Promise<AcquireOutcome> | undefined;
	term: Term | undefined;
	approvedOrders: Order[];
	/** Incremented at each crash, so that a call from before the crash never continues. */
	incarnation: number;
};

/** The code of the placement package, driven by the events of a trace. */
export type Replay = {
	apply: (event: LeaseEvent) => Promise<void>;
	/** Returns the view that has to equal that of the specification's state. */
	getView: () => Promise<ReplayView>;
};

/** Observable state of the hosts, the key-value service and the engine. */
export type ReplayView = {fencingNumber: number; isHolderTaken: boolean; fencingNumbers: Record<HostName, number>; isOrderAllowed: Record<HostName, boolean>; executedLeases: number[]};

const engineOrder: EngineOrder = {kind: 'change-role', role: 'mixed'};
const flushRounds = 50;

const flushPromises = async (): Promise<void> => {
	for (let round = 0; round < flushRounds; round++) {
		// eslint-disable-next-line no-await-in-loop -- Each round runs one more step of a promise chain.
		await Promise.resolve();
	}
};

const createBlockingKeyValue = (memory: MemoryKeyValue, host: Host, lateWrites: CompareAndSwap[]): KeyValueService => {
	const waitForRelease = async (): Promise<void> => {
		const {incarnation} = host;
		await new Promise<void>(resolve => {
			host.blockedCalls.push(resolve);
		});
		if (host.incarnation !== incarnation) {
			await new Promise<never>(() => {
				// A call of a crashed host never continues.
			});
		}
	};

	const write = async (change: CompareAndSwap): Promise<WriteOutcome> => {
		switch (host.reply) {
			case 'arrives': {
				return memory.compareAndSwap(change);
			}

			case 'lost-applied': {
				await memory.compareAndSwap(change);
				break;
			}

			case 'lost-late': {
				lateWrites.push(change);
				break;
			}

			case 'lost-dropped': {
				break;
			}
		}

		return {kind: 'unknown', reason: host.reply};
	};

	return {
		...memory,
		async grantLease(duration) {
			await waitForRelease();
			return memory.grantLease(duration);
		},
		async compareAndSwap(change) {
			await waitForRelease();
			return write(change);
		},
		async endLease(lease) {
			await waitForRelease();
			return host.isEndLost ? {kind: 'unknown', reason: 'lost'} : memory.endLease(lease);
		},
	};
};

const createHost = (): Host => ({
	clock: createManualClock(), blockedCalls: [], reply: 'arrives', isEndLost: false, outcome: undefined, term: undefined, approvedOrders: [], incarnation: 0,
});

/** Releases the next blocked call of a host, and runs what follows from it. */
const releaseNextCall = async (host: Host): Promise<void> => {
	host.blockedCalls.shift()?.();
	await flushPromises();
};

const stopHost = (host: Host): void => {
	host.incarnation++;
	host.blockedCalls = [];
	host.term = undefined;
};

/** Creates two hosts, a key-value service and an engine that follow the events of a trace. */
export const createReplay = (fencing: Fencing): Replay => {
	const memory = createMemoryKeyValue({clock: createManualClock(), random: createRandom(1)});
	const lateWrites: CompareAndSwap[] = [];
	const ordersInFlight: Order[] = [];
	const hostStates: Record<HostName, Host> = {a: createHost(), b: createHost()};
	const keyValues: Record<HostName, KeyValueService> = {a: createBlockingKeyValue(memory, hostStates.a, lateWrites), b: createBlockingKeyValue(memory, hostStates.b, lateWrites)};
	const engine: Orders = createOrders(getEngineSettings({fencing}));
	const executedLeases: number[] = [];

	const read = async (name: HostName): Promise<void> => {
		const host = hostStates[name];
		host.outcome = acquireTerm({
			keyValue: keyValues[name], clock: host.clock, self: {host: name, incarnation: host.incarnation}, timing: defaultTiming,
		});
		void host.outcome.then(outcome => {
			host.term = outcome.kind === 'acquired' ? outcome.term : undefined;
		});
		await flushPromises();
	};

	const deliver = async (index: number): Promise<void> => {
		const next = ordersInFlight[index];
		if (next === undefined) {
			return;
		}

		const answer = await engine.apply({id: String(next.lease), fencingNumber: next.fencingNumber, order: engineOrder});
		if (answer.status === 200 && !executedLeases.includes(next.lease)) {
			executedLeases.push(next.lease);
		}
	};

	/** Advances the host's clock until orders of earlier terms have expired, and renews the lease. */
	const waitOutOrders = (host: Host): void => {
		host.clock.pause(defaultTiming.orderLifetime);
		if (host.term !== undefined) {
			host.term = {...host.term, validUntil: getValidUntil(host.clock.monotonic(), defaultTiming)};
		}
	};

	const isOrderAllowed = ({term, clock}: Host): boolean =>
		term !== undefined && mayOrder(term, fencing, clock.monotonic(), defaultTiming);

	const approveOrder = (host: Host): void => {
		if (isOrderAllowed(host) && host.term !== undefined) {
			host.approvedOrders.push({lease: Number(host.term.lease.replace('lease-', '')) - 1, fencingNumber: host.term.fencingNumber});
		}
	};

	const apply = async (event: LeaseEvent): Promise<void> => {
		switch (event.type) {
			case 'read': {
				return read(event.host);
			}

			case 'grant': {
				return releaseNextCall(hostStates[event.host]);
			}

			case 'take':
			case 'raise': {
				hostStates[event.host].reply = event.reply;
				return releaseNextCall(hostStates[event.host]);
			}

			case 'end': {
				hostStates[event.host].isEndLost = event.isLost;
				return releaseNextCall(hostStates[event.host]);
			}

			case 'expire': {
				hostStates[event.host].clock.pause(defaultTiming.lease);
				return;
			}

			case 'crash': {
				stopHost(hostStates[event.host]);
				hostStates[event.host].approvedOrders = [];
				return;
			}

			case 'lapse': {
				await memory.endLease(`lease-${event.lease + 1}`);
				return;
			}

			case 'late': {
				const [write] = lateWrites.splice(event.index, 1);
				await (write === undefined ? undefined : memory.compareAndSwap(write));
				return;
			}

			case 'wait': {
				waitOutOrders(hostStates[event.host]);
				return;
			}

			case 'check': {
				approveOrder(hostStates[event.host]);
				return;
			}

			case 'send': {
				ordersInFlight.push(...hostStates[event.host].approvedOrders.splice(event.index, 1));
				return;
			}

			case 'deliver': {
				await deliver(event.index);
				ordersInFlight.splice(event.index, event.isRepeated ? 0 : 1);
				return;
			}

			case 'lose': {
				ordersInFlight.splice(event.index, 1);
			}
		}
	};

	return {
		apply,
		async getView() {
			const fencingEntry = memory.peek(fencingKey);
			const entries = hosts.map(name => [name, hostStates[name]] as const);
			return {
				fencingNumber: Number(fencingEntry?.value ?? 0),
				isHolderTaken: memory.peek(holderKey) !== undefined,
				fencingNumbers: Object.fromEntries(entries.map(([name, {term, clock}]) =>
					[name, term !== undefined && clock.monotonic() < term.validUntil ? term.fencingNumber : 0])) as Record<HostName, number>,
				isOrderAllowed: Object.fromEntries(entries.map(([name, host]) => [name, isOrderAllowed(host)])) as Record<HostName, boolean>,
				executedLeases,
			};
		},
	};
};
