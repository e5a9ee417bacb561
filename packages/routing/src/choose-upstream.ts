import type {Random} from '@gentianlift/clock';
import type {Milliseconds, Zone} from '@gentianlift/types';
import type {RankTokens} from './rank-tokens.js';
import {getRepeatedPrefillCost} from './repeated-prefill.js';
import type {Upstream} from './upstream.js';

/** Load that all hosts together put on an upstream. */
export type UpstreamLoad = {
	/** Number of requests in flight. */
	running: number;
	/** Uncached prompt tokens of requests in flight that have not returned their first token; "unread" means still to be prefilled. */
	unreadTokens: number;
	/** Number of latency-sensitive streams among the requests in flight: those that miss their target for the interval between events if a long prefill runs beside them. */
	latencySensitiveStreams: number;
	/** Uncached prompt tokens of requests that are queued at the hosts for this upstream. */
	queuedTokens: RankTokens;
	/** When the upstream was last observed to start or finish a prefill. */
	progressAt: Milliseconds;
};

/** An upstream that may receive the request, with its load and the properties that determine its cost. */
export type Candidate = {
	upstream: Upstream;
	load: UpstreamLoad;
	/** Time until it has prefilled the prompts that were sent to it. */
	backlog: Milliseconds;
	/** Prompt tokens that other hosts have queued for it. */
	queuedElsewhere: RankTokens;
	/** Time that it needs to prefill the prompts which are queued for it ahead of this one, at other hosts those of its rank or a higher one. */
	queueDelay: Milliseconds;
	/** Prompt tokens that it has to prefill, as it has not cached them. */
	uncachedTokens: number;
	/** Tokens of shared parts that another candidate has cached and this one has not; plus, unless it is the preferred upstream, an estimate of the further ones that the preferred upstream may have cached. */
	rereadTokens: number;
	/** Prompt tokens that it prefills per millisecond. */
	prefillRate: number;
	/** Whether it is reserved for latency-sensitive streams, so that long prefills avoid it. */
	isReserved: boolean;
	/** Recent fraction of failures among its results, from 0 to 1. */
	failureRatio: number;
	/** Response time in relation to the median of the candidates; 1 is the median. */
	relativeLatency: number;
};

/** Properties of the request that determine the cost of a candidate. */
export type RequestProfile = {
	/** Availability zone of the host that forwards the request. */
	zone: Zone;
	/** Whether the request lists the parts of its prompt. */
	hasPrompt: boolean;
	/** Whether the request is a latency-sensitive stream. */
	isLatencySensitive: boolean;
	/** Remaining time until the target for the first token is missed. */
	slack: Milliseconds;
	/** Cost of sending the request to another availability zone; a constant if absent. Of no effect without a prompt. */
	transferCost?: Milliseconds | undefined;
};

/** Cost of each request in flight. */
const runningRequestCost: Milliseconds = 2;
/** Cost of a request to another availability zone where its transfer isn't weighed. */
const crossZoneCost: Milliseconds = 12;
/** Cost of an upstream whose failure ratio is 1. */
const failureCost: Milliseconds = 3000;
/** Cost of missing the target for the first token. */
const latenessCost: Milliseconds = 1500;
/** Cost of each latency-sensitive stream that is delayed by interference. */
const interferenceCostPerStream: Milliseconds = 250;
/** Cost of a long prefill on a reserved upstream; also the maximum cost of interference. */
const reservedUpstreamPenalty: Milliseconds = 4000;
/** Cost of a latency-sensitive stream on an upstream that isn't reserved and may receive long prefills. */
const unreservedUpstreamPenalty: Milliseconds = 300;
/** Prompt tokens that an upstream can prefill between two events of a latency-sensitive stream without delaying it. */
export const maxHarmlessPrefillTokens = 5500;

/** Cost of a request to another availability zone for a service without prompts, in requests in flight. */
const crossZoneRequestCost = 0.25;
/** Cost of an upstream whose failure ratio is 1 for a service without prompts, in requests in flight. */
const failureRequestCost = 20;

/** Returns the cost of interference between a long prefill and latency-sensitive streams, whether the request is the long prefill or one of the streams. */
const getInterferenceCost = ({isReserved, load, backlog, uncachedTokens, prefillRate}: Candidate, {isLatencySensitive}: RequestProfile): Milliseconds => {
	const isInterfering = (backlog * prefillRate) + uncachedTokens > maxHarmlessPrefillTokens;
	const interferenceCost = isInterfering ? load.latencySensitiveStreams * interferenceCostPerStream : 0;
	if (isLatencySensitive) {
		return Math.min(interferenceCost, reservedUpstreamPenalty) + (isReserved ? 0 : unreservedUpstreamPenalty);
	}

	return isReserved && isInterfering ? reservedUpstreamPenalty : Math.min(interferenceCost, reservedUpstreamPenalty);
};

const getCostWithPrompt = (candidate: Candidate, profile: RequestProfile): number => {
	const {
		upstream, load, backlog, queueDelay, uncachedTokens, rereadTokens, prefillRate, failureRatio,
	} = candidate;
	const timeToFirstToken = backlog + queueDelay + (uncachedTokens / prefillRate);
	const redundantPrefill = getRepeatedPrefillCost(rereadTokens, prefillRate);
	const latenessPenalty = timeToFirstToken > profile.slack ? latenessCost : 0;
	const zonePenalty = upstream.zone === profile.zone ? 0 : profile.transferCost ?? crossZoneCost;
	return timeToFirstToken + redundantPrefill + latenessPenalty + zonePenalty
		+ (load.running * runningRequestCost) + (failureRatio * failureCost) + getInterferenceCost(candidate, profile);
};

const getCostWithoutPrompt = ({upstream, load, failureRatio, relativeLatency}: Candidate, {zone}: RequestProfile): number => {
	const zonePenalty = upstream.zone === zone ? 0 : crossZoneRequestCost;
	return ((load.running + 1) * relativeLatency) + zonePenalty + (failureRatio * failureRequestCost);
};

/**
 * Returns the cost of sending the request to the candidate: in milliseconds of time to first token for requests with a
 * prompt, else in requests in flight. Only costs of one service's candidates are comparable.
 */
export const getCost = (candidate: Candidate, profile: RequestProfile): number =>
	profile.hasPrompt ? getCostWithPrompt(candidate, profile) : getCostWithoutPrompt(candidate, profile);

/** Chooses the candidate with the lowest cost; a small random addition breaks ties. */
export const chooseUpstream = (candidates: readonly Candidate[], profile: RequestProfile, random: Random): Candidate | undefined => {
	let best: Candidate | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const cost = getCost(candidate, profile) + (random.next() / 100);
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
};
