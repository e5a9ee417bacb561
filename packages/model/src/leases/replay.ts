import {createManualClock, createRandom} from '@gentianlift/clock';
import {createOrderExecutor, getEngineSettings, type OrderExecutor} from '@gentianlift/fakes';
import {fencingKey, holderKey} from '@gentianlift/placement';
import {createMemoryKeyValue} from '@gentianlift/platform';
import type {EngineOrder, FencingSupport} from '@gentianlift/types';
import {getLeaseId, ReplayHost, type ReplayContext} from './replay-host.js';
import type {HostName, LeaseEvent, Order} from './state.js';

/** The code of the placement package, driven by the events of a trace. */
export type Replay = {
	apply: (event: LeaseEvent) => Promise<void>;
	/** Returns the view that has to equal that of the specification's state. */
	getView: () => Promise<ReplayView>;
};

/** Observable state of the hosts, the key-value service and the engine. */
export type ReplayView = {fencingNumber: number; isHolderTaken: boolean; fencingNumbers: Record<HostName, number>; isOrderAllowed: Record<HostName, boolean>; executedLeases: number[]};

const engineOrder: EngineOrder = {kind: 'change-role', role: 'mixed'};

/** Two hosts, a key-value service and an engine that follow the events of a trace. */
class TraceReplay implements Replay {
	readonly #context: ReplayContext;
	readonly #hosts: Record<HostName, ReplayHost>;
	readonly #engine: OrderExecutor;
	readonly #ordersInFlight: Order[] = [];
	readonly #executedLeases: number[] = [];

	constructor(fencing: FencingSupport) {
		this.#context = {fencing, memory: createMemoryKeyValue({clock: createManualClock(), random: createRandom(1)}), lateWrites: []};
		this.#hosts = {a: new ReplayHost('a', this.#context), b: new ReplayHost('b', this.#context)};
		this.#engine = createOrderExecutor(getEngineSettings({fencing}));
	}

	readonly apply = async (event: LeaseEvent): Promise<void> => {
		switch (event.type) {
			case 'read':
			case 'grant':
			case 'take':
			case 'raise':
			case 'end':
			case 'expire':
			case 'crash':
			case 'wait':
			case 'check': {
				return this.#hosts[event.host].apply(event);
			}

			case 'lapse': {
				await this.#context.memory.endLease(getLeaseId(event.lease));
				return;
			}

			case 'late': {
				return this.#applyLateWrite(event.index);
			}

			case 'send': {
				this.#ordersInFlight.push(...this.#hosts[event.host].takeApprovedOrder(event.index));
				return;
			}

			case 'deliver': {
				await this.#deliver(event.index);
				this.#ordersInFlight.splice(event.index, event.isRepeated ? 0 : 1);
				return;
			}

			case 'lose': {
				this.#ordersInFlight.splice(event.index, 1);
			}
		}
	};

	readonly getView = async (): Promise<ReplayView> => {
		const {memory} = this.#context;
		const {a, b} = this.#hosts;
		return {
			fencingNumber: Number(memory.peek(fencingKey)?.value ?? 0),
			isHolderTaken: memory.peek(holderKey) !== undefined,
			fencingNumbers: {a: a.getFencingNumber(), b: b.getFencingNumber()},
			isOrderAllowed: {a: a.isOrderAllowed(), b: b.isOrderAllowed()},
			executedLeases: this.#executedLeases,
		};
	};

	async #applyLateWrite(index: number): Promise<void> {
		const {memory, lateWrites} = this.#context;
		const [write] = lateWrites.splice(index, 1);
		await (write === undefined ? undefined : memory.compareAndSwap(write));
	}

	/** Delivers an order in flight to the engine, and records the lease if the engine executes its first order. */
	async #deliver(index: number): Promise<void> {
		const next = this.#ordersInFlight[index];
		if (next === undefined) {
			return;
		}

		const answer = await this.#engine.apply({id: String(next.lease), fencingNumber: next.fencingNumber, order: engineOrder});
		if (answer.status === 200 && !this.#executedLeases.includes(next.lease)) {
			this.#executedLeases.push(next.lease);
		}
	}
}

/** Creates two hosts, a key-value service and an engine that follow the events of a trace. */
export const createReplay = (fencing: FencingSupport): Replay => new TraceReplay(fencing);
