import {compareWaiting} from '@gentianlift/policy';
import type {Milliseconds} from '@gentianlift/types';
import {type Entry, getWaiting, type GroupState} from '../state.js';
import {getPrecedence} from './precedence.js';
import {getExpectedService, getWaitBehind} from './times.js';

/** Gets the waiting entries of a group in the order in which they are granted. */
export const getInOrder = (state: GroupState): Entry[] => {
	const waiting = getWaiting(state);
	const precedence = getPrecedence(state, waiting);
	return waiting.toSorted((first, second) => compareWaiting(first, second, precedence));
};

/** Gets the expected wait of an entry that stands among others in order. */
export const getWaitAfter = (state: GroupState, entry: Entry, inOrder: readonly Entry[]): Milliseconds => {
	let ahead = 0;
	for (const other of inOrder) {
		if (other === entry) {
			break;
		}

		ahead += getExpectedService(state, other.ticket);
	}

	return getWaitBehind(state, entry.ticket, ahead);
};
