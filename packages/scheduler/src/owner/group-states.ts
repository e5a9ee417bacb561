import type {Group} from '@gentianlift/policy';
import type {GroupId, UpstreamId} from '@gentianlift/types';
import {createGroupState, updateGroupState} from './create-group-state.js';
import type {GroupState, OwnerContext, UpstreamState} from './state.js';
import type {UpstreamRegistry} from './upstream-registry.js';

/** The states of the groups that this host grants slots of, created on first use. */
export class GroupStates {
	readonly #context: OwnerContext;
	readonly #registry: UpstreamRegistry;
	readonly #owned = new Map<GroupId, GroupState>();
	/** Groups in degraded mode, which this host doesn't own; limited to its share of their slots. */
	readonly #degraded = new Map<GroupId, GroupState>();
	#groups = new Map<GroupId, Group>();

	constructor(context: OwnerContext, registry: UpstreamRegistry) {
		this.#context = context;
		this.#registry = registry;
	}

	/** Returns the state of a group that this host owns; undefined if the group isn't configured. */
	getOwned(group: GroupId): GroupState | undefined {
		return this.#getOrCreate(this.#owned, group, 1);
	}

	/** Returns the state of a group in degraded mode; undefined if the group isn't configured. A new state is limited to the given fraction of the slots. */
	getDegraded(group: GroupId, slotFraction: number): GroupState | undefined {
		return this.#getOrCreate(this.#degraded, group, slotFraction);
	}

	/** Returns the states of owned groups. */
	getAllOwned(): GroupState[] {
		return [...this.#owned.values()];
	}

	/** Returns all states, those of owned groups first. */
	getAll(): GroupState[] {
		return [...this.#owned.values(), ...this.#degraded.values()];
	}

	/** Returns the states of an upstream in all groups. */
	getUpstreamStates(id: UpstreamId): UpstreamState[] {
		return this.getAll().flatMap(state => state.upstreams.get(id) ?? []);
	}

	/** Applies the groups of a new configuration. */
	configure(groups: readonly Group[]): void {
		this.#groups = new Map(groups.map(group => [group.id, group]));
		for (const state of this.getAll()) {
			updateGroupState(state, this.#groups.get(state.group.id));
			this.#restoreUpstreams(state);
		}
	}

	/** Removes the states of groups that are no longer configured, that this host no longer owns, or that have no entries left in degraded mode. */
	removeUnused(isOwned: (group: GroupId) => boolean): void {
		removeStates(this.#owned, ({group}) => isOwned(group.id) && this.#groups.has(group.id));
		removeStates(this.#degraded, ({group, entries}) => entries.size > 0 && this.#groups.has(group.id));
	}

	#getOrCreate(states: Map<GroupId, GroupState>, id: GroupId, slotFraction: number): GroupState | undefined {
		const group = this.#groups.get(id);
		const known = states.get(id);
		if (known !== undefined || group === undefined) {
			return known;
		}

		const state = createGroupState(this.#context, group, slotFraction);
		this.#restoreUpstreams(state);
		states.set(id, state);
		return state;
	}

	#restoreUpstreams(state: GroupState): void {
		for (const upstream of state.upstreams.values()) {
			this.#registry.restore(upstream);
		}
	}
}

/** Removes the states that aren't kept, and ends the tasks of their entries. */
const removeStates = (states: Map<GroupId, GroupState>, isKept: (state: GroupState) => boolean): void => {
	for (const [id, state] of states) {
		if (!isKept(state)) {
			states.delete(id);
			for (const entry of state.entries.values()) {
				entry.endTask();
			}
		}
	}
};
