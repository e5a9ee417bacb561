import {getServiceOrder, shareStep} from '@gentianlift/policy';
import type {Milliseconds} from '@gentianlift/types';
import {type Entry, getWaiting, type GroupState} from '../state.js';
import {getPrecedence} from './precedence.js';
import {getExpectedService, getOutlook, getWaitBehind} from './times.js';

/** Gets the waiting entries of a group in the order in which they are expected to be granted. */
export const getInOrder = (state: GroupState): Entry[] => {
	const waiting = getWaiting(state);
	const precedence = getPrecedence(state, waiting);
	const getSteps = ({ticket}: Entry): number => getExpectedService(state, ticket) / ticket.weight / shareStep;
	return getServiceOrder(waiting, precedence, state.context.without.has('fairness') ? () => 0 : getSteps);
};

/** Gets the expected wait of each waiting entry, by the order in which they are granted. */
export const getWaits = (state: GroupState, inOrder: readonly Entry[]): Map<Entry, Milliseconds> => {
	const outlook = getOutlook(state);
	const waits = new Map<Entry, Milliseconds>();
	let ahead = 0;
	for (const entry of inOrder) {
		waits.set(entry, getWaitBehind(outlook, entry.ticket.rank, ahead));
		ahead += getExpectedService(state, entry.ticket);
	}

	return waits;
};
