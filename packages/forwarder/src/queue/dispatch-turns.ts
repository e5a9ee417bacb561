import {getMeanReportDelay} from '@gentianlift/discovery';
import {
	getSendProbability, getTokensElsewhere, getUpstreamKey, type Candidate, type TokensElsewhere, type UpstreamKey,
} from '@gentianlift/routing';
import type {Milliseconds, Rank} from '@gentianlift/types';
import type {ForwarderContext} from '../context.js';
import type {UpstreamTracker} from './upstream-tracker.js';

/** A queued call that its upstream has room for. */
export type DispatchTurn = {
	/** Rank of the call. */
	rank: Rank;
	/** The upstream chosen for the call. */
	candidate: Candidate;
	/** All upstreams that may receive the call. */
	candidates: readonly Candidate[];
	/** Maximum backlog at which an upstream may receive the call. */
	backlogLimit: Milliseconds;
	/** When the dispatch pass began. */
	now: Milliseconds;
	/** Whether the call has just come. */
	isNew: boolean;
};

/** Decides when this host sends its queued calls, so that all hosts together don't send more than an upstream has room for. */
export type DispatchTurns = {
	/** Returns whether a call may be sent to its candidate now; if other hosts have calls for it, by a draw at most once per upstream and report delay, which small new calls need only against higher ranks. */
	take: (turn: DispatchTurn) => boolean;
	/** Whether a draw for an upstream was made so lately that none can follow yet. */
	isDrawn: (upstream: UpstreamKey, now: Milliseconds) => boolean;
	/** Records the upstreams for which calls of this host are queued after a dispatch pass. */
	setWaiting: (upstreams: Iterable<UpstreamKey>, now: Milliseconds) => void;
};

/** Dependencies of the decisions on turns. */
export type DispatchTurnsOptions = Pick<ForwarderContext, 'random' | 'countHosts'> & {tracker: Pick<UpstreamTracker, 'getReportedQueuedTokens'>};

/** Tokens of a new call that takes no turn, as a fraction of those that an upstream prefills in the time of the backlog limit. */
const smallCallFraction = 0.25;

/** Whether a call is new and adds little to a backlog: such calls come one at a time, not at all hosts at once. */
const isSmallArrival = ({isNew, candidate, backlogLimit}: DispatchTurn): boolean =>
	isNew && candidate.uncachedTokens <= smallCallFraction * backlogLimit * candidate.prefillRate;

const countWithRoom = (candidates: readonly Candidate[], backlogLimit: Milliseconds): number =>
	Math.max(1, candidates.filter(({backlog}) => backlog <= backlogLimit).length);

/** Creates the state of a host without queued calls. */
export const createDispatchTurns = ({random, tracker, countHosts}: DispatchTurnsOptions): DispatchTurns => {
	/** When calls of this host began to wait for an upstream, without a break since. */
	let waitingSince = new Map<UpstreamKey, Milliseconds>();
	const nextDraws = new Map<UpstreamKey, Milliseconds>();

	/**
	 * Returns the other hosts' queued tokens that may go to the upstream too. Until they know of each other's calls there,
	 * hosts that have just chosen it may all send theirs: all queued calls choose among the upstreams that have room.
	 */
	const countCompetingTokens = ({
		rank, candidate, candidates, backlogLimit, now,
	}: DispatchTurn, reportDelay: Milliseconds): TokensElsewhere => {
		const since = waitingSince.get(getUpstreamKey(candidate.upstream)) ?? now;
		if (now - since >= reportDelay) {
			return getTokensElsewhere([candidate], rank);
		}

		const upstreams = countWithRoom(candidates, backlogLimit);
		const {same, higher} = getTokensElsewhere(candidates, rank);
		return {same: same / upstreams, higher: higher / upstreams};
	};

	const isDrawn = (upstream: UpstreamKey, now: Milliseconds): boolean => (nextDraws.get(upstream) ?? 0) > now;

	const dropPastDraws = (now: Milliseconds): void => {
		for (const [key, at] of nextDraws) {
			if (at <= now) {
				nextDraws.delete(key);
			}
		}
	};

	return {
		take(turn) {
			const {
				rank, candidate, backlogLimit, now,
			} = turn;
			const key = getUpstreamKey(candidate.upstream);
			const reportDelay = getMeanReportDelay(countHosts());
			const competing = countCompetingTokens(turn, reportDelay);
			const needsNoTurn = competing.higher <= 0 && (competing.same <= 0 || isSmallArrival(turn));
			if (backlogLimit === Number.POSITIVE_INFINITY || needsNoTurn) {
				return true;
			}

			if (isDrawn(key, now)) {
				return false;
			}

			nextDraws.set(key, now + reportDelay);
			const ownTokens = Math.max(candidate.uncachedTokens, tracker.getReportedQueuedTokens(key).get(rank) ?? 0);
			const probability = getSendProbability(candidate, {
				backlogLimit, ownTokens, otherTokens: competing.same, higherRankTokens: competing.higher,
			});
			return random.next() < probability;
		},
		isDrawn,
		setWaiting(upstreams, now) {
			dropPastDraws(now);
			waitingSince = new Map([...upstreams].map(key => [key, waitingSince.get(key) ?? now]));
		},
	};
};
