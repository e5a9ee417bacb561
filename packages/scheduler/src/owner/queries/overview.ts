import type {
	GroupId, Milliseconds, Rank, UpstreamId,
} from '@gentianlift/types';
import type {GroupState, Standing} from '../state.js';
import {getOutlook} from './times.js';

/** How many tickets of a rank wait and run. */
export type RankOverview = {rank: Rank; waiting: number; running: number};

/** A group as its owner sees it. */
export type GroupOverview = {
	group: GroupId;
	slots: number;
	nextFree: Milliseconds;
	ranks: RankOverview[];
	/** Waiting tickets by what they need, for decisions on which models to load. */
	demand: Array<{needs: string[]; waiting: number; leastSlack: Milliseconds; rank: Rank}>;
	upstreams: Array<{upstream: UpstreamId; standing: Standing; running: number; decode: Milliseconds}>;
};

/** Gets the overview of a group. */
export const getGroupOverview = (state: GroupState): GroupOverview => ({
	group: state.group.id,
	...getTimes(state),
	ranks: getRanks(state),
	demand: getDemand(state),
	upstreams: [...state.upstreams].map(([upstream, {standing, running, decode}]) => ({
		upstream, standing, running: running.size, decode: decode.mean,
	})),
});

const getTimes = (state: GroupState): Pick<GroupOverview, 'slots' | 'nextFree'> => {
	const {slots, nextFree} = getOutlook(state);
	return {slots, nextFree};
};

const getRanks = (state: GroupState): RankOverview[] => {
	const ranks = state.context.tiers.map((_, rank) => ({rank, waiting: 0, running: 0}));
	for (const {ticket, state: {kind}} of state.entries.values()) {
		const overview = ranks[ticket.rank];
		if (overview !== undefined) {
			overview[kind]++;
		}
	}

	return ranks;
};

const getDemand = (state: GroupState): GroupOverview['demand'] => {
	const now = state.context.clock.monotonic();
	const demand = new Map<string, GroupOverview['demand'][number]>();
	for (const {ticket, deadline, state: {kind}} of state.entries.values()) {
		if (kind === 'waiting') {
			const key = ticket.needs.join('+');
			const known = demand.get(key) ?? {
				needs: ticket.needs, waiting: 0, leastSlack: Number.POSITIVE_INFINITY, rank: ticket.rank,
			};
			demand.set(key, {
				...known,
				waiting: known.waiting + 1,
				leastSlack: Math.min(known.leastSlack, deadline - now),
				rank: Math.min(known.rank, ticket.rank),
			});
		}
	}

	return [...demand.values()];
};
