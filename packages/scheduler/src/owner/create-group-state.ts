import PQueue from 'p-queue';
import {createEstimate, createFairShares, type Group} from '@gentianlift/policy';
import type {Milliseconds} from '@gentianlift/types';
import {grantSlot} from './commands/entries.js';
import {createQueueClass, type GrantQueue, type GrantQueueOptions} from './grant-queue.js';
import {selectNext} from './queries/select-next.js';
import {defaultTimePerOutputToken} from './queries/forecast.js';
import type {GroupState, OwnerContext, UpstreamState} from './state.js';

/** Time within which all hosts report what earlier owners granted them. */
export const reconciliationPeriod: Milliseconds = 1000;

/**
 * Concurrency of the queue as a multiple of the slots. A task of p-queue ends some microtasks after the owner has freed its slot,
 * so a bound equal to the slots would hold back the next run.
 */
const queueConcurrencyFactor = 2;

/** Creates the state of a group with no tickets. */
export const createGroupState = (context: OwnerContext, group: Group, ownerSlotFraction: number): GroupState => {
	const now = context.clock.monotonic();
	const slots = group.upstreams.reduce((sum, upstream) => sum + upstream.slots, 0);
	const state: GroupState = {
		context,
		group,
		upstreams: new Map(group.upstreams.map(upstream => [upstream.id, createUpstreamState(upstream)])),
		entries: new Map(),
		endedAttempts: new Map(),
		fairShares: createFairShares(),
		floorDebts: new Map(),
		rankUtilization: new Map(),
		accountedUntil: now,
		lastPassAt: now,
		estimates: new Map(),
		reconciledAt: now + reconciliationPeriod,
		ownerSlotFraction,
		outbox: new Map(),
		latestSequences: new Map(),
		queue: new PQueue<GrantQueue, GrantQueueOptions>({
			concurrency: Math.max(1, slots * queueConcurrencyFactor),
			queueClass: createQueueClass({
				selectNext: waiting => selectNext(state, waiting),
				grantSlot(assignment) {
					grantSlot(state, assignment);
				},
			}),
		}),
		nextSequence: 0,
	};
	return state;
};

/** Creates the state of an upstream with no known load or runs. */
export const createUpstreamState = (upstream: Group['upstreams'][number]): UpstreamState => ({
	upstream,
	availability: 'available',
	running: new Set(),
	recentRuns: [],
	cachedPrefixes: new Set(),
	timePerOutputToken: createEstimate(defaultTimePerOutputToken),
	slotHoldRatio: createEstimate(1),
});

/** Applies a new configuration of a group: runs continue, new upstreams are added, and removed ones get no more requests. */
export const updateGroupState = (state: GroupState, group: Group | undefined): void => {
	if (group === undefined) {
		return;
	}

	state.group = group;
	const configured = new Set(group.upstreams.map(({id}) => id));
	for (const upstream of group.upstreams) {
		const known = state.upstreams.get(upstream.id);
		if (known === undefined) {
			state.upstreams.set(upstream.id, createUpstreamState(upstream));
		} else {
			known.upstream = upstream;
		}
	}

	for (const id of state.upstreams.keys()) {
		if (!configured.has(id)) {
			state.upstreams.delete(id);
		}
	}
};
