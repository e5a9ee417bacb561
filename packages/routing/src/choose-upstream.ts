import type {Random} from '@gentianlift/clock';
import type {Rank, Zone} from '@gentianlift/types';
import type {Prompt} from './prompt.js';
import type {Upstream} from './upstream.js';

/** Work at an upstream, from all hosts. */
export type UpstreamLoad = {
	/** Requests sent and not yet answered to their end. */
	running: number;
	/** Prompt tokens of requests that have not answered with their first token. */
	unreadTokens: number;
	/** Of the running ones, those of the highest rank. */
	urgent: number;
};

/** An upstream with what is known of it. */
export type Candidate = {
	upstream: Upstream;
	load: UpstreamLoad;
	/** Tokens of the prompt that the upstream doesn't keep from earlier prompts; 0 without a prompt. */
	uncachedTokens: number;
	/** Recent share of failures, from 0 to 1. */
	failureShare: number;
	/** Time of an answer against the median of its peers; 1 is the same. */
	slowness: number;
};

/** What is to be placed. */
export type Placement = {zone: Zone; rank: Rank; prompt?: Prompt};

/** Tokens of prompts that are read in the time that one more running request adds to the answers beside it. */
const tokensForRunning = 250;
/** Tokens that a call to another availability zone is worth. */
const tokensForZone = 600;
/** Tokens that a certain failure is worth. */
const tokensForFailure = 60_000;
/** Part of the tokens to read that each urgent request beside it adds, since reading delays its events. */
const shareForUrgent = 0.06;
/** Part of a slot that a call to another availability zone is worth to a service without prompts. */
const slotsForZone = 0.25;
/** Slots that a certain failure is worth. */
const slotsForFailure = 20;

const getGenerationCost = ({upstream, load, uncachedTokens, failureShare, slowness}: Candidate, {zone, rank}: Placement): number => {
	const reading = (load.unreadTokens + uncachedTokens) * slowness;
	const decoding = load.running * tokensForRunning * slowness;
	const harm = rank === 0 ? 0 : uncachedTokens * load.urgent * shareForUrgent;
	const distance = upstream.zone === zone ? 0 : tokensForZone;
	return reading + decoding + harm + distance + (failureShare * tokensForFailure);
};

const getCallCost = ({upstream, load, failureShare, slowness}: Candidate, {zone}: Placement): number => {
	const distance = upstream.zone === zone ? 0 : slotsForZone;
	return ((load.running + 1) * slowness) + distance + (failureShare * slotsForFailure);
};

/** Gets the cost of placing the request at the candidate; comparable only between candidates of one service. */
export const getCost = (candidate: Candidate, placement: Placement): number =>
	placement.prompt === undefined ? getCallCost(candidate, placement) : getGenerationCost(candidate, placement);

/** Chooses the candidate of the least cost, one of them at random where several have it. */
export const chooseUpstream = (candidates: readonly Candidate[], placement: Placement, random: Random): Candidate | undefined => {
	let best: Candidate | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const cost = getCost(candidate, placement) + (random.next() / 100);
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
};
