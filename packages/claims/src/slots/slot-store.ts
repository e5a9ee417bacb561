import type {Metrics} from '@gentianlift/metrics';
import type {KeyValueService, WriteOutcome} from '@gentianlift/types';
import PQueue from 'p-queue';
import {readRemovalProgress, type RemovalProgressRead} from './removal-progress.js';
import {
	createSlotState, parseSlotState, serializeSlotState, type SlotState,
} from './slot-state.js';
import {getSlotKey, type Slot} from './slot.js';

/** Result of reading a slot. */
export type SlotRead
	= | {kind: 'read'; state: SlotState; revision: number}
		| {kind: 'unavailable'; reason: string};

/** Access to slots in the key-value service. Calls are counted in the metrics, and their concurrency is limited. */
export type SlotStore = {
	/** Reads a slot; one without a value reads as empty, with revision 0. */
	read: (slot: Slot) => Promise<SlotRead>;
	/** Writes a slot if its revision is `expected`. */
	write: (slot: Slot, state: SlotState, expected: number) => Promise<WriteOutcome>;
	/** Removes a slot if its revision is `expected`. */
	remove: (slot: Slot, expected: number) => Promise<WriteOutcome>;
	readRemovalProgress: () => Promise<RemovalProgressRead>;
};

const maxConcurrentCalls = 16;

const readEntry = async (keyValue: KeyValueService, slot: Slot): Promise<SlotRead> => {
	const outcome = await keyValue.read(getSlotKey(slot));
	switch (outcome.kind) {
		case 'absent': {
			return {kind: 'read', state: createSlotState(), revision: 0};
		}

		case 'found': {
			const state = parseSlotState(outcome.entry.value);
			return state === undefined
				? {kind: 'unavailable', reason: 'the slot is unreadable'}
				: {kind: 'read', state, revision: outcome.entry.revision};
		}

		case 'unavailable': {
			return outcome;
		}
	}
};

/** Creates the slot store of a host. */
export const createSlotStore = (keyValue: KeyValueService, metrics: Metrics): SlotStore => {
	const queue = new PQueue({concurrency: maxConcurrentCalls});
	const runCall = async <Outcome extends {kind: string}>(name: string, run: () => Promise<Outcome>): Promise<Outcome> => {
		const outcome = await queue.add(run);
		metrics.count('claim_calls', {call: name, outcome: outcome.kind});
		return outcome;
	};

	return {
		read: async slot => runCall('read', async () => readEntry(keyValue, slot)),
		async write(slot, state, expected) {
			const value = serializeSlotState(state);
			metrics.count('claim_write_bytes', {}, value.length);
			return runCall('write', async () => keyValue.compareAndSwap({key: getSlotKey(slot), value, expected}));
		},
		remove: async (slot, expected) => runCall('remove', async () => keyValue.remove(getSlotKey(slot), expected)),
		readRemovalProgress: async () => runCall('floor', async () => readRemovalProgress(keyValue)),
	};
};
