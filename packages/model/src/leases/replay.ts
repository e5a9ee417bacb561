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

type Write = Parameters<KeyValueService['compareAndSwap']>[0];

/** A host that runs the real functions; each of its calls waits until a step of the trace lets it through. */
type Host = {
	clock: ManualClock;
	waiting: Array<() => void>;
	reply: ReplyKind;
	isEndLost: boolean;
	outcome: Promise<AcquireOutcome> | undefined;
	term: Term | undefined;
	cleared: Order[];
	/** Rises with each crash, so that a call from before it never goes on. */
	life: number;
};

/** The real functions under the events of a trace. */
export type Replay = {
	apply: (event: LeaseEvent) => Promise<void>;
	/** What the specification's state is compared with. */
	getView: () => Promise<ReplayView>;
};

/** What can be seen of the real functions and the service. */
export type ReplayView = {fencing: number; isHolderTaken: boolean; numbers: Record<HostName, number>; mayOrder: Record<HostName, boolean>; done: number[]};

const order: EngineOrder = {kind: 'change-role', role: 'mixed'};
const settleRounds = 50;

const settle = async (): Promise<void> => {
	for (let round = 0; round < settleRounds; round++) {
		// eslint-disable-next-line no-await-in-loop -- Each round lets one more step of a promise chain run.
		await Promise.resolve();
	}
};

const createGate = (memory: MemoryKeyValue, host: Host, late: Write[]): KeyValueService => {
	const pass = async (): Promise<void> => {
		const {life} = host;
		await new Promise<void>(resolve => {
			host.waiting.push(resolve);
		});
		if (host.life !== life) {
			await new Promise<never>(() => {
				// A crashed host's call never goes on.
			});
		}
	};

	const write = async (change: Write): Promise<WriteOutcome> => {
		switch (host.reply) {
			case 'arrives': {
				return memory.compareAndSwap(change);
			}

			case 'lost-applied': {
				await memory.compareAndSwap(change);
				break;
			}

			case 'lost-late': {
				late.push(change);
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
			await pass();
			return memory.grantLease(duration);
		},
		async compareAndSwap(change) {
			await pass();
			return write(change);
		},
		async endLease(lease) {
			await pass();
			return host.isEndLost ? {kind: 'unknown', reason: 'lost'} : memory.endLease(lease);
		},
	};
};

const createHost = (): Host => ({
	clock: createManualClock(), waiting: [], reply: 'arrives', isEndLost: false, outcome: undefined, term: undefined, cleared: [], life: 0,
});

/** Lets the host's next call through and lets what follows from it happen. */
const release = async (host: Host): Promise<void> => {
	host.waiting.shift()?.();
	await settle();
};

const stop = (host: Host): void => {
	host.life++;
	host.waiting = [];
	host.term = undefined;
};

/** Creates a replay with one engine. */
export const createReplay = (fencing: Fencing): Replay => {
	const memory = createMemoryKeyValue({clock: createManualClock(), random: createRandom(1)});
	const late: Write[] = [];
	const network: Order[] = [];
	const states: Record<HostName, Host> = {a: createHost(), b: createHost()};
	const gates: Record<HostName, KeyValueService> = {a: createGate(memory, states.a, late), b: createGate(memory, states.b, late)};
	const engine: Orders = createOrders(getEngineSettings({fencing}));
	const done: number[] = [];

	const read = async (name: HostName): Promise<void> => {
		const host = states[name];
		host.outcome = acquireTerm({
			keyValue: gates[name], clock: host.clock, self: {host: name, incarnation: host.life}, timing: defaultTiming,
		});
		void host.outcome.then(outcome => {
			host.term = outcome.kind === 'acquired' ? outcome.term : undefined;
		});
		await settle();
	};

	const deliver = async (index: number): Promise<void> => {
		const next = network[index];
		if (next === undefined) {
			return;
		}

		const answer = await engine.apply({id: String(next.lease), fencingNumber: next.number, order});
		if (answer.status === 200 && !done.includes(next.lease)) {
			done.push(next.lease);
		}
	};

	/** Waits out earlier orders, renewing the lease meanwhile. */
	const wait = (host: Host): void => {
		host.clock.pause(defaultTiming.orderLifetime);
		if (host.term !== undefined) {
			host.term = {...host.term, validUntil: getValidUntil(host.clock.monotonic(), defaultTiming)};
		}
	};

	const isAllowed = ({term, clock}: Host): boolean =>
		term !== undefined && mayOrder(term, fencing, clock.monotonic(), defaultTiming);

	const check = (host: Host): void => {
		if (isAllowed(host) && host.term !== undefined) {
			host.cleared.push({lease: Number(host.term.lease.replace('lease-', '')) - 1, number: host.term.fencingNumber});
		}
	};

	const apply = async (event: LeaseEvent): Promise<void> => {
		switch (event.type) {
			case 'read': {
				return read(event.host);
			}

			case 'grant': {
				return release(states[event.host]);
			}

			case 'take':
			case 'raise': {
				states[event.host].reply = event.reply;
				return release(states[event.host]);
			}

			case 'end': {
				states[event.host].isEndLost = event.isLost;
				return release(states[event.host]);
			}

			case 'expire': {
				states[event.host].clock.pause(defaultTiming.lease);
				return;
			}

			case 'crash': {
				stop(states[event.host]);
				states[event.host].cleared = [];
				return;
			}

			case 'lapse': {
				await memory.endLease(`lease-${event.lease + 1}`);
				return;
			}

			case 'late': {
				const [write] = late.splice(event.index, 1);
				await (write === undefined ? undefined : memory.compareAndSwap(write));
				return;
			}

			case 'wait': {
				wait(states[event.host]);
				return;
			}

			case 'check': {
				check(states[event.host]);
				return;
			}

			case 'send': {
				network.push(...states[event.host].cleared.splice(event.index, 1));
				return;
			}

			case 'deliver': {
				await deliver(event.index);
				network.splice(event.index, event.isRepeated ? 0 : 1);
				return;
			}

			case 'lose': {
				network.splice(event.index, 1);
			}
		}
	};

	return {
		apply,
		async getView() {
			const fencingEntry = memory.peek(fencingKey);
			const entries = hosts.map(name => [name, states[name]] as const);
			return {
				fencing: Number(fencingEntry?.value ?? 0),
				isHolderTaken: memory.peek(holderKey) !== undefined,
				numbers: Object.fromEntries(entries.map(([name, {term, clock}]) =>
					[name, term !== undefined && clock.monotonic() < term.validUntil ? term.fencingNumber : 0])) as Record<HostName, number>,
				mayOrder: Object.fromEntries(entries.map(([name, host]) => [name, isAllowed(host)])) as Record<HostName, boolean>,
				done,
			};
		},
	};
};
