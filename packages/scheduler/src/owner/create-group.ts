import PQueue from 'p-queue';
import {createEstimate, createShares, type Group} from '@gentianlift/policy';
import type {Milliseconds} from '@gentianlift/types';
import {place} from './commands/entries.js';
import {createQueueClass, type GrantQueue, type GrantQueueOptions} from './grant-queue.js';
import {getNext} from './queries/next.js';
import {assumedDecode} from './queries/times.js';
import type {GroupState, OwnerContext, UpstreamState} from './state.js';

/** Time in which the hosts name what earlier owners granted. */
export const settleTime: Milliseconds = 1000;

/** P-queue learns of an end some microtasks after the owner, so its own bound leaves room for the next run. */
const queueRoom = 2;

/** Creates the state of a group with no tickets. */
export const createGroup = (context: OwnerContext, group: Group, slotShare: number): GroupState => {
	const now = context.clock.monotonic();
	const slots = group.upstreams.reduce((sum, upstream) => sum + upstream.slots, 0);
	const state: GroupState = {
		context,
		group,
		upstreams: new Map(group.upstreams.map(upstream => [upstream.id, createUpstream(upstream)])),
		entries: new Map(),
		ended: new Map(),
		shares: createShares(),
		floorDebts: new Map(),
		use: new Map(),
		countedTo: now,
		reviewedAt: now,
		estimates: new Map(),
		settledAt: now + settleTime,
		slotShare,
		outbox: new Map(),
		sequences: new Map(),
		queue: new PQueue<GrantQueue, GrantQueueOptions>({
			concurrency: Math.max(1, slots * queueRoom),
			queueClass: createQueueClass({
				getNext: entries => getNext(state, entries),
				place(pick) {
					place(state, pick);
				},
			}),
		}),
		nextSequence: 0,
	};
	return state;
};

/** Creates the state of an upstream of which nothing is known yet. */
export const createUpstream = (upstream: Group['upstreams'][number]): UpstreamState => ({
	upstream,
	standing: 'available',
	running: new Set(),
	ended: [],
	prefixes: new Set(),
	decode: createEstimate(assumedDecode),
	transit: createEstimate(1),
});

/** Takes in a new configuration: runs go on, new upstreams join, removed ones get no more work. */
export const updateGroup = (state: GroupState, group: Group | undefined): void => {
	if (group === undefined) {
		return;
	}

	state.group = group;
	const kept = new Set(group.upstreams.map(({id}) => id));
	for (const upstream of group.upstreams) {
		const known = state.upstreams.get(upstream.id);
		if (known === undefined) {
			state.upstreams.set(upstream.id, createUpstream(upstream));
		} else {
			known.upstream = upstream;
		}
	}

	for (const id of state.upstreams.keys()) {
		if (!kept.has(id)) {
			state.upstreams.delete(id);
		}
	}
};
