import type {LoadTracker} from '@gentianlift/discovery';
import {
	createTurnTimes, getBacklog, getTokensElsewhere, type TokensElsewhere, type TurnTimes, type UpstreamKey,
} from '@gentianlift/routing';
import type {Milliseconds, Rank} from '@gentianlift/types';
import type {ObservedService, ObservedUpstream} from './observed-service.js';

/** Room that the upstreams of a service have for calls, as a dispatch pass sees it until it sends a call there. What all queued calls ask for is computed once. */
export type ServiceRoom = {
	/** Shortest backlog of an upstream; infinite if none may get calls. */
	shortestBacklog: Milliseconds;
	/** Returns the backlog of an upstream; infinite if it may get no calls. */
	getBacklogOf: (upstream: UpstreamKey) => Milliseconds;
	/** Returns the time until a call with a number of queued prompt tokens ahead has its turn. */
	getTimeToTurn: TurnTimes;
	/** Returns the prompt tokens that the other hosts have queued for these upstreams. */
	getTokensElsewhere: (rank: Rank) => TokensElsewhere;
};

/** What the room depends on. */
export type ServiceRoomOptions = {
	loads: Pick<LoadTracker, 'getTotalLoad'>;
	/** Whether this host may send a request to an upstream now, by what the upstream has said of its limit and its rest. */
	hasPermit: (upstream: UpstreamKey) => boolean;
};

/** Computes a value at the first call. */
const once = <Value>(compute: () => Value): (() => Value) => {
	let known: {value: Value} | undefined;
	return () => {
		known ??= {value: compute()};
		return known.value;
	};
};

/** Measures the room of the upstreams that calls may be sent to: unreachable ones only if there are no others. */
export const measureRoom = ({all, reachable, now}: ObservedService, {loads, hasPermit}: ServiceRoomOptions): ServiceRoom => {
	const findUsable = (upstreams: readonly ObservedUpstream[]): ObservedUpstream[] => upstreams.filter(({key}) => hasPermit(key));
	const usableReachable = findUsable(reachable);
	const usable = usableReachable.length > 0 ? usableReachable : findUsable(all);
	const backlogs = new Map<UpstreamKey, Milliseconds>();
	let shortestBacklog = Number.POSITIVE_INFINITY;
	for (const {key, prefillRate} of usable) {
		const backlog = getBacklog(loads.getTotalLoad(key), prefillRate, now);
		backlogs.set(key, backlog);
		shortestBacklog = Math.min(shortestBacklog, backlog);
	}

	const getTurnTimes = once(() => createTurnTimes(usable.map(({key, prefillRate}) => ({backlog: backlogs.get(key)!, prefillRate}))));
	const tokensElsewhere = new Map<Rank, TokensElsewhere>();
	return {
		shortestBacklog,
		getBacklogOf: upstream => backlogs.get(upstream) ?? Number.POSITIVE_INFINITY,
		getTimeToTurn: tokensAhead => getTurnTimes()(tokensAhead),
		getTokensElsewhere(rank) {
			const tokens = tokensElsewhere.get(rank) ?? getTokensElsewhere(usable, rank);
			tokensElsewhere.set(rank, tokens);
			return tokens;
		},
	};
};
