import {getGroupsFor} from '@gentianlift/policy';
import type {GroupId, Milliseconds, Rank} from '@gentianlift/types';
import {chooseGroup, createWaitEstimates, type WaitEstimates} from './choose-group.js';
import type {GrantClientOptions, HeldRequest} from './types.js';

/** Chooses the groups that requests wait for, by the waits that the owners have reported. */
export class GroupChoice {
	readonly #options: Pick<GrantClientOptions, 'clock' | 'random' | 'getGroups'>;
	readonly #waitEstimates: WaitEstimates = createWaitEstimates();

	constructor(options: Pick<GrantClientOptions, 'clock' | 'random' | 'getGroups'>) {
		this.#options = options;
	}

	/** Chooses a group that provides the needs, other than `except`; undefined when there is none. */
	choose(needs: readonly string[], rank: Rank, except?: GroupId): GroupId | undefined {
		const {clock, random, getGroups} = this.#options;
		const groups = getGroupsFor(getGroups(), needs).filter(({id}) => id !== except);
		const now = clock.monotonic();
		return chooseGroup(groups, id => this.#waitEstimates.getWait(id, rank, now), random)?.id;
	}

	/** Records the wait that the owner of a request's group expects. */
	recordWait({group, rank}: HeldRequest, expectedWait: Milliseconds, now: Milliseconds): void {
		this.#waitEstimates.apply(group, rank, expectedWait, now);
	}

	/** Chooses the group that a request moves to: if its wait is too long and it hasn't moved yet, another one with a shorter estimated wait. */
	chooseMove({ticket, group, rank, deadline, hasMoved}: HeldRequest, expectedWait: Milliseconds, now: Milliseconds): GroupId | undefined {
		const alternative = this.choose(ticket.needs, rank, group);
		const isTooLate = expectedWait > deadline - now;
		if (alternative === undefined || hasMoved || !isTooLate) {
			return undefined;
		}

		return this.#waitEstimates.getWait(alternative, rank, now) < expectedWait ? alternative : undefined;
	}
}
