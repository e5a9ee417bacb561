import type {Random} from '@gentianlift/clock';
import type {Ticket, UpstreamId, Zone} from '@gentianlift/types';
import {type GroupUpstream, canProvide} from './groups.js';

/** An upstream that may receive a ticket, with the state that determines its cost. */
export type Candidate = {
	upstream: GroupUpstream;
	/** False while it is ejected or leaving. */
	acceptsRequests: boolean;
	/** Requests in flight, see `getLoad`. */
	load: number;
	/** Number of requests that may currently run on it at once. */
	slots: number;
	/** Speed in relation to the median of the group; 1 is the median, 0.5 is half as fast. */
	relativeSpeed: number;
	/** Digests of prompt prefixes that it is assumed to have cached. */
	prefixes: Pick<ReadonlySet<string>, 'has'>;
	/** Whether it runs an isolated request, one suspected of crashing upstreams. */
	hasSuspect: boolean;
};

/** Options of `chooseUpstream`. */
export type ChoiceOptions = {
	/** Availability zone of the host that sends the request; undefined disregards zones. */
	zone?: Zone;
	/** Whether cached prefixes reduce the cost. */
	usePrefix: boolean;
	/** Whether stragglers are avoided. */
	useSpeed: boolean;
	/** Size of the random sample from which the best candidate is chosen; all candidates if undefined. Those with a cached prefix are always included. */
	sampleSize?: number;
};

/** Relative speed below which an upstream is a straggler. */
export const stragglerSpeed = 0.5;

// Costs as fractions of an upstream's slots.
const cachedPrefixDiscount = 0.5;
const stragglerPenalty = 1;
const crossZonePenalty = 0.05;
const prefillRolePenalty = 2;

/** Returns the candidates with a free slot that may run the ticket. */
export const getEligible = (candidates: readonly Candidate[], ticket: Ticket): Candidate[] => candidates.filter(candidate =>
	candidate.acceptsRequests
	&& candidate.load < candidate.slots
	&& canProvide(candidate.upstream, ticket.needs)
	&& !ticket.avoid.includes(candidate.upstream.id)
	&& !(ticket.isolated && candidate.hasSuspect));

/** Chooses the upstream with the lowest cost for a ticket, ties broken at random; undefined if no eligible one has a free slot. */
export const chooseUpstream = (candidates: readonly Candidate[], ticket: Ticket, random: Random, options: ChoiceOptions): UpstreamId | undefined => {
	const eligible = getEligible(candidates, ticket);
	const sample = options.sampleSize === undefined ? eligible : getSample(eligible, ticket, random, options.sampleSize);
	let best: Candidate | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const candidate of sample) {
		const cost = getCost(candidate, ticket, options) + (random.next() / 1000);
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best?.upstream.id;
};

/** Returns the cost of a candidate as a fraction of its slots. */
export const getCost = (candidate: Candidate, ticket: Ticket, options: ChoiceOptions): number => {
	const {upstream} = candidate;
	const load = candidate.load / Math.max(1, candidate.slots);
	const discount = options.usePrefix ? cachedPrefixDiscount * getCachedFraction(candidate, ticket) : 0;
	const isStraggler = options.useSpeed && candidate.relativeSpeed < stragglerSpeed;
	const speedPenalty = isStraggler ? stragglerPenalty : 0;
	const zonePenalty = options.zone !== undefined && options.zone !== upstream.zone ? crossZonePenalty : 0;
	const rolePenalty = upstream.role === 'prefill' ? prefillRolePenalty : 0;
	return load - discount + speedPenalty + zonePenalty + rolePenalty;
};

/** Returns the fraction of the ticket's prefix that the candidate is assumed to have cached, from 0 to 1. */
export const getCachedFraction = (candidate: Candidate, ticket: Ticket): number => {
	const longestCached = ticket.prefix.findLastIndex(digest => candidate.prefixes.has(digest));
	return ticket.prefix.length === 0 ? 0 : (longestCached + 1) / ticket.prefix.length;
};

const getSample = (eligible: readonly Candidate[], ticket: Ticket, random: Random, size: number): Candidate[] => {
	const remaining = [...eligible];
	const chosen = remaining.filter(candidate => getCachedFraction(candidate, ticket) > 0);
	while (chosen.length < size && remaining.length > 0) {
		chosen.push(...remaining.splice(random.below(remaining.length), 1));
	}

	return chosen;
};
