import type {GrantResponse, HostId} from '@gentianlift/types';
import type {GroupState} from '../state.js';

/** Sends decisions to a host. */
export type DecisionSender = (host: HostId, answer: GrantResponse) => void;

/** Sends the decisions of a group that wait in its outbox. */
export const flushOutbox = (state: GroupState, push: DecisionSender): void => {
	const messages = [...state.outbox];
	state.outbox.clear();
	for (const [host, decisions] of messages) {
		if (decisions.length > 0) {
			push(host, {owner: true, group: state.group.id, decisions});
		}
	}
};
