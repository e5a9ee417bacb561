import type {Milliseconds} from '@gentianlift/types';
import type {Operation} from './batch.js';
import {
	createCommit, type CommitOptions, type OperationOutcome, type CachedSlot, type PendingOperation,
} from './commit.js';
import type {SlotRead} from './slot-store.js';
import {getSlotKey, type Slot} from './slot.js';

/** Batches the operations on each slot into compare-and-swaps, one at a time per slot. */
export type SlotWriter = {
	/** Applies an operation. Resolves with an answer that follows from a state in the key-value service, or fails after `timeout`. */
	apply: (slot: Slot, operation: Operation, timeout: Milliseconds) => Promise<OperationOutcome>;
	/** Reads a slot from the key-value service. */
	read: (slot: Slot) => Promise<SlotRead>;
};

type SlotQueue = CachedSlot & {pending: PendingOperation[]; isRunning: boolean};

/** Number of queues above which idle ones are removed, with their cached slots. */
const maxQueues = 256;

/** Creates the slot writer of a host. */
export const createSlotWriter = (options: Omit<CommitOptions, 'createToken'>): SlotWriter => {
	const {
		clock, random, store, limits,
	} = options;
	const tokenPrefix = Math.floor(random.next() * Number.MAX_SAFE_INTEGER).toString(36);
	const queues = new Map<string, SlotQueue>();
	let tokenCount = 0;
	const commit = createCommit({...options, createToken: () => `${tokenPrefix}-${++tokenCount}`});

	const removeIdleQueues = (): void => {
		for (const [key, queue] of queues) {
			if (queues.size <= maxQueues) {
				return;
			}

			if (!queue.isRunning) {
				queues.delete(key);
			}
		}
	};

	/** Returns the queue of a slot, moved to the end of the order in which idle queues are removed. */
	const getQueue = (slot: Slot): SlotQueue => {
		const key = getSlotKey(slot);
		const queue = queues.get(key) ?? {
			slot, lastWriteAt: -limits.writeInterval, pending: [], isRunning: false, isUnaccessed: true,
		};
		queues.delete(key);
		queues.set(key, queue);
		return queue;
	};

	const waitForWriteInterval = async (queue: SlotQueue): Promise<void> => {
		const wait = queue.lastWriteAt + limits.writeInterval - clock.monotonic();
		if (wait > 0) {
			await clock.sleep(wait);
		}
	};

	const processQueue = async (queue: SlotQueue): Promise<void> => {
		queue.isRunning = true;
		while (queue.pending.length > 0) {
			// eslint-disable-next-line no-await-in-loop -- A slot has one write in flight; operations that arrive meanwhile form the next batch.
			await waitForWriteInterval(queue);
			// eslint-disable-next-line no-await-in-loop -- One write is in flight at a time.
			await commit(queue, queue.pending.splice(0));
		}

		queue.isRunning = false;
		removeIdleQueues();
	};

	return {
		apply: async (slot, operation, timeout) => new Promise(resolve => {
			const queue = getQueue(slot);
			queue.pending.push({
				operation, deadline: clock.monotonic() + timeout, undetermined: false, resolve,
			});
			if (!queue.isRunning) {
				void processQueue(queue);
			}
		}),
		read: store.read,
	};
};
