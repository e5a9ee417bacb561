import {getServiceOrder, fairShareStep} from '@gentianlift/policy';
import type {Milliseconds} from '@gentianlift/types';
import {type TrackedTicket, getWaitingEntries, type GroupState} from '../state.js';
import {getPrecedence} from './precedence.js';
import {getCapacityForecast, getExpectedServiceTime, getTicketWait} from './forecast.js';

/** Returns the waiting entries of a group in the order in which they are expected to be granted slots. */
export const getGrantOrder = (state: GroupState): TrackedTicket[] => {
	const waiting = getWaitingEntries(state);
	const precedence = getPrecedence(state, waiting);
	const getSteps = ({ticket}: TrackedTicket): number => getExpectedServiceTime(state, ticket) / ticket.weight / fairShareStep;
	return getServiceOrder(waiting, precedence, state.context.disabledMechanisms.has('fairness') ? () => 0 : getSteps);
};

/** Returns the expected wait of each entry of a grant order. */
export const getExpectedWaits = (state: GroupState, inOrder: readonly TrackedTicket[]): Map<TrackedTicket, Milliseconds> => {
	const forecast = getCapacityForecast(state);
	const waits = new Map<TrackedTicket, Milliseconds>();
	let serviceAhead = 0;
	for (const entry of inOrder) {
		waits.set(entry, getTicketWait(forecast, entry.ticket.rank, serviceAhead));
		serviceAhead += getExpectedServiceTime(state, entry.ticket);
	}

	return waits;
};
