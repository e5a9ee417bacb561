import {createManualClock, type ManualClock} from '@gentianlift/clock';
import {
	acquireTerm, defaultTiming, isOrderAllowed, type Term,
} from '@gentianlift/placement';
import {getValidUntil, type MemoryKeyValue} from '@gentianlift/platform';
import type {CompareAndSwap, FencingSupport, KeyValueService} from '@gentianlift/types';
import {createBlockingKeyValue, type CallState} from './blocking-key-value.js';
import {flushPromises} from './flush-promises.js';
import type {HostName, LeaseEvent, Order} from './state.js';

/** Event of a trace that a host carries out alone. */
export type HostEvent = Exclude<Extract<LeaseEvent, {host: HostName}>, {type: 'send'}>;

/** Parts that the hosts of a replay share. */
export type ReplayContext = {
	fencing: FencingSupport;
	memory: MemoryKeyValue;
	/** Writes whose reply was lost and that haven't taken effect yet. */
	lateWrites: CompareAndSwap[];
};

/** Host that runs the code of the placement package; each of its service calls blocks until an event of the trace releases it. */
export class ReplayHost {
	readonly #name: HostName;
	readonly #fencing: FencingSupport;
	readonly #clock: ManualClock = createManualClock();
	readonly #calls: CallState = {
		blockedCalls: [], reply: 'arrives', isEndLost: false, incarnation: 0,
	};

	readonly #keyValue: KeyValueService;
	#term: Term | undefined;
	#approvedOrders: Order[] = [];

	constructor(name: HostName, {fencing, memory, lateWrites}: ReplayContext) {
		this.#name = name;
		this.#fencing = fencing;
		this.#keyValue = createBlockingKeyValue(memory, this.#calls, lateWrites);
	}

	/** Applies an event of this host. */
	async apply(event: HostEvent): Promise<void> {
		switch (event.type) {
			case 'read': {
				return this.#acquire();
			}

			case 'grant': {
				return this.#releaseNextCall();
			}

			case 'take':
			case 'raise': {
				this.#calls.reply = event.reply;
				return this.#releaseNextCall();
			}

			case 'end': {
				this.#calls.isEndLost = event.isLost;
				return this.#releaseNextCall();
			}

			case 'expire': {
				this.#clock.pause(defaultTiming.leaseDuration);
				return;
			}

			case 'crash': {
				this.#crash();
				return;
			}

			case 'wait': {
				this.#waitOutOrders();
				return;
			}

			case 'check': {
				this.#approveOrder();
			}
		}
	}

	/** Removes the approved order at an index, and returns it to be sent; none if there is none. */
	takeApprovedOrder(index: number): Order[] {
		return this.#approvedOrders.splice(index, 1);
	}

	/** Returns the fencing number of the host's term; 0 if it has none that is valid. */
	getFencingNumber(): number {
		return this.#term !== undefined && this.#clock.monotonic() < this.#term.validUntil ? this.#term.fencingNumber : 0;
	}

	/** Returns whether the placement package allows the host an order now. */
	isOrderAllowed(): boolean {
		return this.#term !== undefined && isOrderAllowed(this.#term, this.#fencing, this.#clock.monotonic(), defaultTiming);
	}

	/** Starts to acquire a term, up to the first blocked call. */
	async #acquire(): Promise<void> {
		void this.#runAcquisition();
		await flushPromises();
	}

	async #runAcquisition(): Promise<void> {
		const outcome = await acquireTerm({
			keyValue: this.#keyValue, clock: this.#clock, self: {host: this.#name, incarnation: this.#calls.incarnation}, timing: defaultTiming,
		});
		this.#term = outcome.kind === 'acquired' ? outcome.term : undefined;
	}

	/** Releases the next blocked call, and runs what follows from it. */
	async #releaseNextCall(): Promise<void> {
		this.#calls.blockedCalls.shift()?.();
		await flushPromises();
	}

	#crash(): void {
		this.#calls.incarnation++;
		this.#calls.blockedCalls = [];
		this.#term = undefined;
		this.#approvedOrders = [];
	}

	/** Advances the clock until orders of earlier terms have expired, and renews the lease. */
	#waitOutOrders(): void {
		this.#clock.pause(defaultTiming.maxOrderLifetime);
		if (this.#term !== undefined) {
			this.#term = {...this.#term, validUntil: getValidUntil(this.#clock.monotonic(), defaultTiming)};
		}
	}

	#approveOrder(): void {
		if (this.isOrderAllowed() && this.#term !== undefined) {
			const {leaseId, fencingNumber} = this.#term;
			this.#approvedOrders.push({lease: getLeaseIndex(leaseId), fencingNumber});
		}
	}
}

const leaseIdPrefix = 'lease-';

/** Returns the index in the specification of a lease of the in-memory service, which numbers leases from 1. */
const getLeaseIndex = (leaseId: string): number => Number(leaseId.replace(leaseIdPrefix, '')) - 1;

/** Returns the id in the in-memory service of a lease of the specification. */
export const getLeaseId = (index: number): string => `${leaseIdPrefix}${index + 1}`;
