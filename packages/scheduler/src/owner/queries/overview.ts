import type {
	GroupId, Milliseconds, Rank, UpstreamAvailability, UpstreamId,
} from '@gentianlift/types';
import type {GroupState} from '../state.js';
import {getCapacityForecast} from './forecast.js';

/** Numbers of waiting and running tickets of a tier. */
export type RankOverview = {rank: Rank; waiting: number; running: number};

/** The owner's view of a group at one moment. */
export type GroupOverview = {
	group: GroupId;
	slots: number;
	/** Expected time until the first slot is free. */
	timeToFreeSlot: Milliseconds;
	ranks: RankOverview[];
	/** Waiting tickets by the models, adapters and services that they need, for decisions on which models to load. */
	demand: Array<{needs: string[]; waiting: number; minSlack: Milliseconds; rank: Rank}>;
	upstreams: Array<{upstream: UpstreamId; standing: UpstreamAvailability; running: number; timePerOutputToken: Milliseconds}>;
};

/** Returns the overview of a group. */
export const getGroupOverview = (state: GroupState): GroupOverview => ({
	group: state.group.id,
	...getSlotOverview(state),
	ranks: getRankOverviews(state),
	demand: getDemand(state),
	upstreams: [...state.upstreams].map(([upstream, {availability, running, timePerOutputToken}]) => ({
		upstream, standing: availability, running: running.size, timePerOutputToken: timePerOutputToken.mean,
	})),
});

const getSlotOverview = (state: GroupState): Pick<GroupOverview, 'slots' | 'timeToFreeSlot'> => {
	const {slots, timeToFreeSlot} = getCapacityForecast(state);
	return {slots, timeToFreeSlot};
};

const getRankOverviews = (state: GroupState): RankOverview[] => {
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
				needs: ticket.needs, waiting: 0, minSlack: Number.POSITIVE_INFINITY, rank: ticket.rank,
			};
			demand.set(key, {
				...known,
				waiting: known.waiting + 1,
				minSlack: Math.min(known.minSlack, deadline - now),
				rank: Math.min(known.rank, ticket.rank),
			});
		}
	}

	return [...demand.values()];
};
