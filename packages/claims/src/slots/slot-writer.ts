import type {Milliseconds} from '@gentianlift/types';
import type {Operation} from './batch.js';
import {
	createCommit, type CommitOptions, type OperationOutcome, type SlotView, type Waiting,
} from './commit.js';
import type {SlotRead} from './slot-calls.js';
import {getSlotKey, type Slot} from './slot.js';

/** Groups the operations of each slot into compare-and-swaps, one under way for each slot. */
export type SlotWriter = {
	/** Applies an operation; resolves once the answer rests on a state that the service holds, or after `timeout`. */
	apply: (slot: Slot, operation: Operation, timeout: Milliseconds) => Promise<OperationOutcome>;
	/** Reads a slot from the service. */
	read: (slot: Slot) => Promise<SlotRead>;
};

type Line = SlotView & {waiting: Waiting[]; isRunning: boolean};

const keptLines = 256;

/** Creates the slot writer of a host. */
export const createSlotWriter = (options: Omit<CommitOptions, 'createToken'>): SlotWriter => {
	const {
		clock, random, calls, limits,
	} = options;
	const tokenBase = Math.floor(random.next() * Number.MAX_SAFE_INTEGER).toString(36);
	const lines = new Map<string, Line>();
	let tokens = 0;
	const commit = createCommit({...options, createToken: () => `${tokenBase}-${++tokens}`});

	const dropIdleLines = (): void => {
		for (const [key, line] of lines) {
			if (lines.size <= keptLines) {
				return;
			}

			if (!line.isRunning) {
				lines.delete(key);
			}
		}
	};

	/** Gets a slot's line and puts it last among those to drop. */
	const getLine = (slot: Slot): Line => {
		const key = getSlotKey(slot);
		const line = lines.get(key) ?? {
			slot, lastWriteAt: -limits.writeInterval, waiting: [], isRunning: false, isUntouched: true,
		};
		lines.delete(key);
		lines.set(key, line);
		return line;
	};

	const pace = async (line: Line): Promise<void> => {
		const wait = line.lastWriteAt + limits.writeInterval - clock.monotonic();
		if (wait > 0) {
			await clock.sleep(wait);
		}
	};

	const run = async (line: Line): Promise<void> => {
		line.isRunning = true;
		while (line.waiting.length > 0) {
			// eslint-disable-next-line no-await-in-loop -- One write of a slot is under way at a time; the others wait and are grouped.
			await pace(line);
			// eslint-disable-next-line no-await-in-loop -- As above.
			await commit(line, line.waiting.splice(0));
		}

		line.isRunning = false;
		dropIdleLines();
	};

	return {
		apply: async (slot, operation, timeout) => new Promise(resolve => {
			const line = getLine(slot);
			line.waiting.push({
				operation, deadline: clock.monotonic() + timeout, undetermined: false, resolve,
			});
			if (!line.isRunning) {
				void run(line);
			}
		}),
		read: calls.read,
	};
};
