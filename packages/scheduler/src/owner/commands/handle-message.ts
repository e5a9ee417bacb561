import type {
	GrantDecision, GrantRequest, GrantResponse, HostId,
} from '@gentianlift/types';
import {getExpectedWaits, getGrantOrder} from '../queries/grant-order.js';
import type {GroupState} from '../state.js';
import {addDecision} from './entries.js';
import {flushOutbox, type DecisionSender} from './flush-outbox.js';
import {applyMessage} from './messages.js';
import {runPassIfDue} from './run-pass.js';

/** Fraction of a request's slack above which its expected wait is reported to the host. */
const reportedWaitFraction = 0.5;

/** Applies a batch of a host to a group, and returns the answer with the decisions for that host; those for others are pushed. */
export const handleMessage = (state: GroupState, from: HostId, message: GrantRequest, push: DecisionSender): GrantResponse => {
	const wanted = applyMessage(state, message);
	runPassIfDue(state);
	addExpectedWaits(state, from, message);
	const decisions = takeDecisions(state, from);
	flushOutbox(state, push);
	const reply: GrantResponse = {owner: true, group: state.group.id, decisions};
	return wanted.length === 0 ? reply : {...reply, wanted};
};

/** Removes the decisions for a host from the outbox, and returns them. */
const takeDecisions = ({outbox}: GroupState, host: HostId): GrantDecision[] => {
	const decisions = outbox.get(host) ?? [];
	outbox.delete(host);
	return decisions;
};

/** Adds the expected wait of each new ticket that may not be granted in time to the host's next message. */
const addExpectedWaits = (state: GroupState, from: HostId, {asks}: GrantRequest): void => {
	const waiting = asks.flatMap(({request}) => state.entries.get(request) ?? []).filter(entry => entry.state.kind === 'waiting');
	if (waiting.length === 0) {
		return;
	}

	const waits = getExpectedWaits(state, getGrantOrder(state));
	for (const entry of waiting) {
		const {request, attempt, slack} = entry.ticket;
		const expectedWait = Math.ceil(waits.get(entry) ?? 0);
		if (expectedWait > slack * reportedWaitFraction) {
			addDecision(state, from, {
				kind: 'waiting', request, attempt, expectedWait,
			});
		}
	}
};
