import {getMeanReportDelay} from '@gentianlift/discovery';
import {
	getSendProbability, getUpstreamKey, type Candidate, type UpstreamKey,
} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import type {ForwarderContext} from './context.js';

/** A queued call that its upstream has room for. */
export type DispatchTurn = {
	/** The upstream chosen for the call. */
	candidate: Candidate;
	/** All upstreams that may receive the call. */
	candidates: readonly Candidate[];
	/** Maximum backlog at which an upstream may receive the call. */
	backlogLimit: Milliseconds;
	/** When the dispatch pass began. */
	now: Milliseconds;
};

/** Decides when this host sends its queued calls, so that all hosts together don't send more than an upstream has room for. */
export type DispatchTurns = {
	/** Returns whether a call may be sent to its candidate now; draws at most once per upstream and report delay. */
	take: (turn: DispatchTurn) => boolean;
	/** Records the upstreams for which calls of this host are queued after a dispatch pass. */
	setWaiting: (upstreams: Iterable<UpstreamKey>, now: Milliseconds) => void;
};

/** Creates the state of a host without queued calls. */
export const createDispatchTurns = ({random, tracker, countHosts}: Pick<ForwarderContext, 'random' | 'tracker' | 'countHosts'>): DispatchTurns => {
	/** When calls of this host began to wait for an upstream, without a break since. */
	let waitingSince = new Map<UpstreamKey, Milliseconds>();
	const nextDraws = new Map<UpstreamKey, Milliseconds>();

	const countOtherTokens = ({upstream, load}: Candidate): number =>
		load.queuedTokens - tracker.getReportedQueuedTokens(getUpstreamKey(upstream));

	/** Returns the other hosts' queued tokens that may go to the upstream too: until they know of each other's calls there, hosts that have just chosen it may all send theirs. */
	const countCompetingTokens = ({candidate, candidates, now}: DispatchTurn, reportDelay: Milliseconds): number => {
		const since = waitingSince.get(getUpstreamKey(candidate.upstream)) ?? now;
		return now - since >= reportDelay
			? countOtherTokens(candidate)
			: candidates.reduce((sum, other) => sum + countOtherTokens(other), 0);
	};

	const dropPastDraws = (now: Milliseconds): void => {
		for (const [key, at] of nextDraws) {
			if (at <= now) {
				nextDraws.delete(key);
			}
		}
	};

	return {
		take(turn) {
			const {candidate, backlogLimit, now} = turn;
			const key = getUpstreamKey(candidate.upstream);
			const reportDelay = getMeanReportDelay(countHosts());
			const otherTokens = countCompetingTokens(turn, reportDelay);
			if (backlogLimit === Number.POSITIVE_INFINITY || otherTokens <= 0) {
				return true;
			}

			if ((nextDraws.get(key) ?? 0) > now) {
				return false;
			}

			nextDraws.set(key, now + reportDelay);
			const ownTokens = Math.max(candidate.uncachedTokens, tracker.getReportedQueuedTokens(key));
			const probability = getSendProbability(candidate, {backlogLimit, ownTokens, otherTokens});
			return random.next() < probability;
		},
		setWaiting(upstreams, now) {
			dropPastDraws(now);
			waitingSince = new Map([...upstreams].map(key => [key, waitingSince.get(key) ?? now]));
		},
	};
};
