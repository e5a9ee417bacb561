import {
	drawRetryAfter, getTimeToFirstToken, getTimeToTurn, getTokensElsewhere, isLastingMiss, isMissed, startMissBalance, sumRankTokens, updateMissBalance,
	type Candidate, type EarlyRefusal, type MissBalance, type RankTokens, type TokensElsewhere, type UpstreamKey,
} from '@gentianlift/routing';
import type {Milliseconds, Rank} from '@gentianlift/types';
import type {Call, Progress} from '../call.js';
import type {ForwarderContext} from '../context.js';
import {dispatchInterval} from './dispatch-schedule.js';
import type {ServiceRoom} from './service-room.js';
import {getLatestFirstToken} from './serving-end.js';

/** A call that its chosen upstream can't take yet, as a dispatch pass sees it. */
export type WaitingCall = {
	call: Call;
	progress: Progress;
	/** The upstream that the call waits for. */
	chosen: Candidate;
	candidates: readonly Candidate[];
	/** Maximum backlog at which an upstream may receive the call. */
	backlogLimit: Milliseconds;
	/** Uncached prompt tokens of this host's calls that go before this one, by the upstream that they wait for and their rank. */
	tokensAhead: ReadonlyMap<UpstreamKey, RankTokens>;
	/** Sums of `tokensAhead` over all upstreams, if they are known. */
	tokensAheadByRank?: RankTokens;
	/** When the pass began. */
	now: Milliseconds;
};

/** A call that goes on waiting for the upstream it was last found to wait for. */
export type StayingCall = Pick<WaitingCall, 'call' | 'backlogLimit' | 'now'> & {
	/** Uncached prompt tokens of this host's calls that go before this one, by rank. */
	tokensAheadByRank: RankTokens;
	/** Uncached prompt tokens of the call at that upstream. */
	uncachedTokens: number;
	room: Pick<ServiceRoom, 'getTimeToTurn' | 'getTokensElsewhere'>;
};

/** What the queued tokens that go before a call depend on. */
type AheadQuery = Pick<StayingCall, 'call' | 'tokensAheadByRank' | 'uncachedTokens'>;

/** A call that its chosen upstream can take. */
export type ReadyCall = Pick<WaitingCall, 'call' | 'progress' | 'chosen' | 'now'>;

/** Decides which waiting calls are refused because their callers would leave before the first token. */
export type EarlyRefusals = {
	/** Counts a dispatch pass, and returns a refusal if no upstream is expected to return the first token in time, and none has been for a while. */
	check: (waiting: WaitingCall) => EarlyRefusal | undefined;
	/** Counts a dispatch pass for a call that isn't decided on anew, by its turn in the queue alone, unless one was counted less than `dispatchInterval` ago; returns whether `check` is due, as the call would be refused. */
	recheck: (staying: StayingCall) => boolean;
	/** Returns a refusal of a call that could go to its chosen upstream now, if its caller leaves before the first token could come from there. */
	checkSend: (ready: ReadyCall) => EarlyRefusal | undefined;
	/** Records the uncached prompt tokens that stay queued at this host after a dispatch pass. */
	endPass: (queuedTokens: RankTokens, now: Milliseconds) => void;
};

/** Time in which a queue that has shrunk counts half as much; the other hosts' reports follow later, and they refuse calls at other moments. */
const queueMemoryHalfLife: Milliseconds = 1000;

/** What is kept of a waiting call between passes. */
type CallState = {
	/** Position of the call among other hosts' calls, from 0 to 1, within what its position in this host's queue leaves open. */
	relativePosition: number;
	balance: MissBalance;
	/** Expected time from the call's turn to its first token, by the last check. */
	afterTurn: Milliseconds;
};

/** Expected times of a waiting call, with the queued tokens that they follow from. */
type Prediction = {turn: Milliseconds; firstToken: Milliseconds; tokensAhead: number; otherHostsTokens: number};

/** Returns the sum over all upstreams, by rank. */
const sumByRank = (tokens: ReadonlyMap<UpstreamKey, RankTokens>): Map<Rank, number> => {
	const sums = new Map<Rank, number>();
	for (const byRank of tokens.values()) {
		for (const [rank, count] of byRank) {
			sums.set(rank, (sums.get(rank) ?? 0) + count);
		}
	}

	return sums;
};

/** Creates the decisions of a host without waiting calls. */
export const createEarlyRefusals = (context: Pick<ForwarderContext, 'clock' | 'random' | 'getServingEnd'>): EarlyRefusals => {
	const {clock, random} = context;
	const states = new WeakMap<Call, CallState>();
	/** Uncached prompt tokens of this host's calls after the last passes, by rank; they fall slowly. */
	let recentQueuedTokens = new Map<Rank, number>();
	let lastPassAt = clock.monotonic();

	const getState = ({call, now}: WaitingCall): CallState => {
		const state = states.get(call) ?? {relativePosition: random.next(), balance: startMissBalance(now, random), afterTurn: 0};
		states.set(call, state);
		return state;
	};

	/**
	 * Estimates the fraction of the other hosts' queued tokens of a call's rank that goes before it. Their queues are taken
	 * to be mixed like that of this host, so that its calls divide them into parts; where a call stands within its part is
	 * drawn once.
	 */
	const getOtherHostsFraction = (rank: Rank, ownTokensAhead: number, uncachedTokens: number, {relativePosition}: CallState): number => {
		const queueLength = Math.max(recentQueuedTokens.get(rank) ?? 0, ownTokensAhead + uncachedTokens, 1);
		return (ownTokensAhead + (relativePosition * uncachedTokens)) / queueLength;
	};

	/** Returns the queued tokens of all hosts that are assumed to go before a call. */
	const countTokensAhead = ({call: {rank}, tokensAheadByRank, uncachedTokens}: AheadQuery, {same, higher}: TokensElsewhere, state: CallState): number => {
		const fraction = getOtherHostsFraction(rank, tokensAheadByRank.get(rank) ?? 0, uncachedTokens, state);
		return sumRankTokens(tokensAheadByRank) + higher + (fraction * same);
	};

	const predict = (waiting: WaitingCall, state: CallState): Prediction => {
		const {call, chosen, candidates, tokensAheadByRank = sumByRank(waiting.tokensAhead)} = waiting;
		const elsewhere = getTokensElsewhere(candidates, call.rank);
		const tokensAhead = countTokensAhead({call, tokensAheadByRank, uncachedTokens: chosen.uncachedTokens}, elsewhere, state);
		const turn = getTimeToTurn(candidates, tokensAhead);
		return {
			turn, firstToken: getTimeToFirstToken(candidates, turn), tokensAhead, otherHostsTokens: elsewhere.same + elsewhere.higher,
		};
	};

	/** Counts a dispatch pass in the balance of a call; returns whether it is to be refused. */
	const countPass = (call: Call, state: CallState, {turn, firstToken}: Pick<Prediction, 'turn' | 'firstToken'>, {backlogLimit, now}: Pick<WaitingCall, 'backlogLimit' | 'now'>): boolean => {
		const remaining = getLatestFirstToken(call, context) - now;
		// A call whose turn comes within the limit could go to an upstream now.
		const hasMissed = turn > backlogLimit && isMissed(firstToken, remaining);
		state.balance = updateMissBalance(state.balance, hasMissed, now);
		return hasMissed && isLastingMiss(state.balance, remaining);
	};

	const createRefusal = ({call, candidates, now}: Pick<WaitingCall, 'call' | 'candidates' | 'now'>, {firstToken, tokensAhead, otherHostsTokens}: Omit<Prediction, 'turn'>): EarlyRefusal => ({
		expected: firstToken,
		remaining: call.leavesAt - now,
		backlog: Math.min(...candidates.map(({backlog}) => backlog)),
		otherHostsTokens,
		tokensAhead: Math.round(tokensAhead),
		retryAfter: drawRetryAfter({expected: firstToken, patience: call.leavesAt - call.arrivedAt, remainingUntilDeadline: call.deadline - now}, random),
	});

	return {
		checkSend({call, progress, chosen, now}) {
			const firstToken = chosen.backlog + (chosen.uncachedTokens / chosen.prefillRate);
			const isReachable = firstToken <= call.leavesAt - now;
			return isReachable || progress.possibleExecutions > 0 ? undefined : createRefusal({call, candidates: [chosen], now}, {firstToken, tokensAhead: 0, otherHostsTokens: 0});
		},
		check(waiting) {
			const {call, progress} = waiting;
			// A refusal says that the request has not run.
			if (progress.possibleExecutions > 0) {
				return undefined;
			}

			const state = getState(waiting);
			const prediction = predict(waiting, state);
			state.afterTurn = prediction.firstToken - prediction.turn;
			return countPass(call, state, prediction, waiting) ? createRefusal(waiting, prediction) : undefined;
		},
		recheck(staying) {
			const {call, room, now} = staying;
			const state = states.get(call);
			if (state === undefined || now - state.balance.lastPassAt < dispatchInterval) {
				return false;
			}

			const tokensAhead = countTokensAhead(staying, room.getTokensElsewhere(call.rank), state);
			const turn = room.getTimeToTurn(tokensAhead);
			return countPass(call, state, {turn, firstToken: turn + state.afterTurn}, staying);
		},
		endPass(queuedTokens, now) {
			const kept = 0.5 ** ((now - lastPassAt) / queueMemoryHalfLife);
			const present = new Map(queuedTokens);
			for (const [rank, tokens] of recentQueuedTokens) {
				const remembered = Math.floor(tokens * kept);
				if (remembered > (present.get(rank) ?? 0)) {
					present.set(rank, remembered);
				}
			}

			recentQueuedTokens = present;
			lastPassAt = now;
		},
	};
};
