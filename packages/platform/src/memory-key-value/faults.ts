import type {Clock, Random} from '@gentianlift/clock';
import type {Milliseconds, WriteOutcome} from '@gentianlift/types';
import type {Store, WriteRequest} from './store.js';

/** Faults of a write. For the first three the caller gets no reply, and the write is applied at once, after a delay, or never; a refused write is known not to be applied. */
export const writeFaults = ['lost-reply', 'late', 'dropped', 'refused'] as const;
/** Fault that is injected into a write. */
export type WriteFault = typeof writeFaults[number];

/** Faults that are injected into calls until they are changed. */
export type MemoryFaults = {
	/** Every call fails as `unavailable`. */
	outage: boolean;
	/** Delay of each reply. */
	latency: Milliseconds;
	/** Probability of each write fault, from 0 to 1. */
	probabilities: Record<WriteFault, number>;
	/** Maximum delay after which a `late` write is applied. */
	maxLateDelay: Milliseconds;
};

/** Probabilities with which no write has a fault. */
export const noWriteFaults: Readonly<Record<WriteFault, number>> = {
	'lost-reply': 0, late: 0, dropped: 0, refused: 0,
};

/** Faults of a new service. */
export const noFaults: MemoryFaults = {
	outage: false,
	latency: 0,
	probabilities: noWriteFaults,
	maxLateDelay: 1000,
};

/** Dependencies of a write with faults. */
export type FaultContext = {clock: Clock; random: Random; getFaults: () => MemoryFaults};

/** Returns the random fault of the next write, if any. */
export const drawWriteFault = ({random, getFaults}: FaultContext): WriteFault | undefined =>
	writeFaults.find(fault => random.next() < getFaults().probabilities[fault]);

/** Applies a write to the store with a fault, or without one if it is undefined. */
export const applyWithFault = (store: Store, write: WriteRequest, fault: WriteFault | undefined, {clock, random, getFaults}: FaultContext): WriteOutcome => {
	switch (fault) {
		case undefined: {
			return store.apply(write);
		}

		case 'lost-reply': {
			store.apply(write);
			return {kind: 'unknown', reason: fault};
		}

		case 'late': {
			clock.after(random.nextInt(getFaults().maxLateDelay) + 1, () => {
				store.apply(write);
			});
			return {kind: 'unknown', reason: fault};
		}

		case 'dropped': {
			return {kind: 'unknown', reason: fault};
		}

		case 'refused': {
			return {kind: 'unavailable', reason: fault};
		}
	}
};
