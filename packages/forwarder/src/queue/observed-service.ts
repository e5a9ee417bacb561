import type {LoadTracker} from '@gentianlift/discovery';
import {
	addRankTokens, getBacklog, getPreferredUpstream, noRankTokens, sumRankTokens,
	type CachedTokens, type Candidate, type Prompt, type PromptCacheEstimate, type RankTokens, type Upstream, type UpstreamKey,
} from '@gentianlift/routing';
import type {Milliseconds, Rank, Zone} from '@gentianlift/types';
import {getPreferenceKey, type PreferredUpstreams} from './preferred-upstreams.js';

/** An upstream as this host sees it during a dispatch pass, without its load, which the calls of the pass change. */
export type ObservedUpstream = {
	upstream: Upstream;
	key: UpstreamKey;
	/** Estimate of its prompt cache. */
	cache: PromptCacheEstimate;
	/** Whether it may have started again, with another software version than is known. */
	isDoubted: boolean;
} & Pick<Candidate, 'queuedElsewhere' | 'prefillRate' | 'isReserved' | 'failureRatio' | 'relativeLatency'>;

/** The upstreams of a service as this host sees them during a dispatch pass. */
export type ObservedService = {
	/** When the pass began. */
	now: Milliseconds;
	all: readonly ObservedUpstream[];
	/** Those that are neither in their backoff period nor silent. */
	reachable: readonly ObservedUpstream[];
	/** Median prefill rate of the reachable upstreams, in tokens per millisecond. */
	prefillRate: number;
	/** Preferred upstreams of the prompts that were decided on, for all reachable upstreams. */
	preferred: PreferredUpstreams;
};

/** A call for which an upstream is chosen. */
export type CandidateQuery = {
	service: ObservedService;
	prompt: Prompt | undefined;
	/** Upstreams that the call was sent to already. */
	tried?: ReadonlySet<UpstreamKey>;
	/** Whether this host may send a request to an upstream now, by what the upstream has said of its limit and its rest. */
	hasPermit: (upstream: UpstreamKey) => boolean;
	/** The only software version that may run the call; undefined if any may. */
	softwareVersion?: string | undefined;
	/** Rank of the call; those of the other hosts' queued calls that rank lower don't go before it. */
	rank?: Rank | undefined;
	/** Availability zone whose upstreams alone may be preferred for the prompt, the same for all calls of a pass; absent if those of all zones may. */
	preferredZone?: Zone | undefined;
	/** For each upstream, the uncached prompt tokens of this host's calls that the pass has processed before this one and that wait for it. */
	tokensAhead?: ReadonlyMap<UpstreamKey, RankTokens>;
};

const noCachedTokens: CachedTokens = {all: 0, shared: 0};

/** Probability that the preferred upstream of a prompt has its shared prefix cached although this host has no record of it. */
const preferredHitProbability = 0.5;

/** Expected number of shared tokens that the preferred upstream of a prompt has cached beyond the maximum that any upstream is known to have. */
type PreferredCacheEstimate = {preferred: UpstreamKey | undefined; tokens: number};

/** Returns the tokens that the other hosts have queued for an upstream, by rank; a dispatch pass doesn't change them. */
export const getQueuedElsewhere = (key: UpstreamKey, loads: LoadTracker): RankTokens =>
	addRankTokens(loads.getTotalLoad(key).queuedTokens, loads.getOwnQueuedTokens(key), -1);

const getUnreservedUpstreams = (usable: readonly ObservedUpstream[], zone: Zone | undefined): Upstream[] =>
	usable.filter(({upstream, isReserved}) => !isReserved && (zone === undefined || upstream.zone === zone)).map(({upstream}) => upstream);

/** Returns the preferred upstream of a prompt among the usable ones. */
const findPreferred = (prompt: Prompt, usable: readonly ObservedUpstream[], {service: {reachable, preferred}, preferredZone}: CandidateQuery): UpstreamKey | undefined => {
	const shared = prompt.parts.at(-2)?.id;
	if (shared === undefined) {
		return undefined;
	}

	// Upstreams that aren't reachable are usable only if no reachable one is.
	const areAllReachable = usable.length === reachable.length && usable[0] === reachable[0];
	if (!areAllReachable) {
		return getPreferredUpstream(prompt, getUnreservedUpstreams(usable, preferredZone));
	}

	const key = getPreferenceKey(shared, preferredZone);
	if (!preferred.has(key)) {
		preferred.set(key, getPreferredUpstream(prompt, getUnreservedUpstreams(usable, preferredZone)));
	}

	return preferred.get(key);
};

/** Estimates what the preferred upstream has cached, where `maxSharedTokens` is the maximum that any upstream is known to have. */
const estimatePreferredCache = (prompt: Prompt, maxSharedTokens: number, preferred: UpstreamKey | undefined): PreferredCacheEstimate => {
	const shared = prompt.parts.slice(0, -1).reduce((sum, {tokens}) => sum + tokens, 0);
	return {preferred, tokens: preferredHitProbability * (shared - maxSharedTokens)};
};

/** What decides whether an upstream may run a call, besides its limit. */
export type Eligibility = Pick<CandidateQuery, 'tried' | 'softwareVersion'>;

/** Whether an upstream may run a call, were it not for its limit. */
export const isEligible = ({upstream, key, isDoubted}: ObservedUpstream, {tried, softwareVersion}: Eligibility): boolean => {
	const hasVersion = softwareVersion === undefined || (upstream.softwareVersion === softwareVersion && !isDoubted);
	return tried?.has(key) !== true && hasVersion;
};

/** Returns the upstreams that a call may be sent to: unreachable ones only if there are no others. */
const getUsable = ({service: {all, reachable}, hasPermit, ...eligibility}: CandidateQuery): readonly ObservedUpstream[] => {
	const isUsable = (observed: ObservedUpstream): boolean => isEligible(observed, eligibility) && hasPermit(observed.key);
	const usable = reachable.filter(observed => isUsable(observed));
	return usable.length > 0 ? usable : all.filter(observed => isUsable(observed));
};

/** Returns the upstreams that a call may be sent to, with their present loads and what they have cached of its prompt. */
export const buildCandidates = (query: CandidateQuery, loads: LoadTracker): Candidate[] => {
	const {service, prompt, rank, tokensAhead} = query;
	const usable = getUsable(query);
	const cachedTokens = usable.map(({cache}) => prompt === undefined ? noCachedTokens : cache.getCachedTokens(prompt));
	let maxSharedTokens = 0;
	for (const {shared} of cachedTokens) {
		maxSharedTokens = Math.max(maxSharedTokens, shared);
	}

	const preferredCache = prompt === undefined ? undefined : estimatePreferredCache(prompt, maxSharedTokens, findPreferred(prompt, usable, query));
	return usable.map(({key, upstream, queuedElsewhere, prefillRate, isReserved, failureRatio, relativeLatency}, index) => {
		const load = loads.getTotalLoad(key);
		const {all, shared} = cachedTokens[index] ?? noCachedTokens;
		return {
			upstream,
			load,
			backlog: getBacklog(load, prefillRate, service.now),
			queuedElsewhere,
			queueDelay: (sumRankTokens(queuedElsewhere, rank) + sumRankTokens(tokensAhead?.get(key) ?? noRankTokens)) / prefillRate,
			uncachedTokens: Math.max(0, (prompt?.inputTokens ?? 0) - all),
			rereadTokens: maxSharedTokens - shared + (preferredCache === undefined || preferredCache.preferred === key ? 0 : preferredCache.tokens),
			prefillRate,
			isReserved,
			failureRatio,
			relativeLatency,
		};
	});
};
