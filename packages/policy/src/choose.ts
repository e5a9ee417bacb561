import type {Random} from '@gentianlift/clock';
import type {Ticket, UpstreamId, Zone} from '@gentianlift/types';
import {type GroupUpstream, hasNeeds} from './groups.js';

/** An upstream with what is known of its state. */
export type Candidate = {
	upstream: GroupUpstream;
	/** Whether it takes new work. */
	available: boolean;
	/** Requests there, see `getLoad`. */
	load: number;
	/** Requests that it may have at once now. */
	slots: number;
	/** Speed against the median of its peers; 1 is the same, 0.5 is half as fast. */
	relativeSpeed: number;
	/** Digests of prefixes that it is taken to hold. */
	prefixes: Pick<ReadonlySet<string>, 'has'>;
	/** Whether an isolated request runs there. */
	hasSuspect: boolean;
};

/** Switches of the choice. */
export type ChoiceOptions = {
	zone?: Zone;
	usePrefix: boolean;
	useSpeed: boolean;
	/** Candidates drawn at random before the best is taken; all if undefined. */
	drawn?: number;
};

/** Below this relative speed an upstream is a straggler. */
export const stragglerSpeed = 0.5;

const prefixWeight = 0.5;
const stragglerWeight = 1;
const zoneWeight = 0.05;
const prefillRoleWeight = 2;

/** Gets the upstreams with a free slot that may run the ticket. */
export const getFitting = (candidates: readonly Candidate[], ticket: Ticket): Candidate[] => candidates.filter(candidate =>
	candidate.available
	&& candidate.load < candidate.slots
	&& hasNeeds(candidate.upstream, ticket.needs)
	&& !ticket.avoid.includes(candidate.upstream.id)
	&& !(ticket.isolated && candidate.hasSuspect));

/** Chooses an upstream for a ticket; undefined when none has a free slot. */
export const chooseUpstream = (candidates: readonly Candidate[], ticket: Ticket, random: Random, options: ChoiceOptions): UpstreamId | undefined => {
	const fitting = getFitting(candidates, ticket);
	const drawn = options.drawn === undefined ? fitting : getDrawn(fitting, ticket, random, options.drawn);
	let best: Candidate | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const candidate of drawn) {
		const cost = getCost(candidate, ticket, options) + (random.next() / 1000);
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best?.upstream.id;
};

/** Gets the cost of a candidate, in shares of its slots; the least is chosen. */
export const getCost = (candidate: Candidate, ticket: Ticket, options: ChoiceOptions): number => {
	const {upstream} = candidate;
	const load = candidate.load / Math.max(1, candidate.slots);
	const prefix = options.usePrefix ? prefixWeight * getHeldShare(candidate, ticket) : 0;
	const isStraggler = options.useSpeed && candidate.relativeSpeed < stragglerSpeed;
	const straggler = isStraggler ? stragglerWeight : 0;
	const zone = options.zone !== undefined && options.zone !== upstream.zone ? zoneWeight : 0;
	const role = upstream.role === 'prefill' ? prefillRoleWeight : 0;
	return load - prefix + straggler + zone + role;
};

/** Gets the part of the ticket's prefix that the candidate is taken to hold, from 0 to 1. */
export const getHeldShare = (candidate: Candidate, ticket: Ticket): number => {
	const longest = ticket.prefix.findLastIndex(digest => candidate.prefixes.has(digest));
	return ticket.prefix.length === 0 ? 0 : (longest + 1) / ticket.prefix.length;
};

const getDrawn = (fitting: readonly Candidate[], ticket: Ticket, random: Random, drawn: number): Candidate[] => {
	const pool = [...fitting];
	const chosen = pool.filter(candidate => getHeldShare(candidate, ticket) > 0);
	while (chosen.length < drawn && pool.length > 0) {
		chosen.push(...pool.splice(random.below(pool.length), 1));
	}

	return chosen;
};
