import type {Metrics} from '@gentianlift/metrics';
import type {KeyValueService, WriteOutcome} from '@gentianlift/types';
import PQueue from 'p-queue';
import {readFloor, type FloorRead} from './floor.js';
import {
	createSlotState, readSlotState, writeSlotState, type SlotState,
} from './slot-state.js';
import {getSlotKey, type Slot} from './slot.js';

/** Result of reading a slot. */
export type SlotRead
	= | {kind: 'read'; state: SlotState; revision: number}
		| {kind: 'unavailable'; reason: string};

/** The calls that claims make of the key-value service, counted, with a bound on how many are under way. */
export type SlotCalls = {
	read: (slot: Slot) => Promise<SlotRead>;
	/** Writes a slot's state if its revision is `expected`. */
	write: (slot: Slot, state: SlotState, expected: number) => Promise<WriteOutcome>;
	/** Removes a slot's value if its revision is `expected`. */
	remove: (slot: Slot, expected: number) => Promise<WriteOutcome>;
	readFloor: () => Promise<FloorRead>;
};

const callLimit = 16;

const readEntry = async (keyValue: KeyValueService, slot: Slot): Promise<SlotRead> => {
	const outcome = await keyValue.read(getSlotKey(slot));
	switch (outcome.kind) {
		case 'absent': {
			return {kind: 'read', state: createSlotState(), revision: 0};
		}

		case 'found': {
			const state = readSlotState(outcome.entry.value);
			return state === undefined
				? {kind: 'unavailable', reason: 'the slot is unreadable'}
				: {kind: 'read', state, revision: outcome.entry.revision};
		}

		case 'unavailable': {
			return outcome;
		}
	}
};

/** Creates the calls of a host. */
export const createSlotCalls = (keyValue: KeyValueService, metrics: Metrics): SlotCalls => {
	const queue = new PQueue({concurrency: callLimit});
	const call = async <Outcome extends {kind: string}>(name: string, run: () => Promise<Outcome>): Promise<Outcome> => {
		const outcome = await queue.add(run);
		metrics.count('claim_calls', {call: name, outcome: outcome.kind});
		return outcome;
	};

	return {
		read: async slot => call('read', async () => readEntry(keyValue, slot)),
		async write(slot, state, expected) {
			const value = writeSlotState(state);
			metrics.count('claim_write_bytes', {}, value.length);
			return call('write', async () => keyValue.compareAndSwap({key: getSlotKey(slot), value, expected}));
		},
		remove: async (slot, expected) => call('remove', async () => keyValue.remove(getSlotKey(slot), expected)),
		readFloor: async () => call('floor', async () => readFloor(keyValue)),
	};
};
