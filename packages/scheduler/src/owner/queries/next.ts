import {
	type Candidate, chooseUpstream, getFirst, type ChoiceOptions,
} from '@gentianlift/policy';
import type {Ticket} from '@gentianlift/types';
import type {Pick} from '../grant-queue.js';
import type {Entry, GroupState} from '../state.js';
import {getCandidates, getLoaded, hasSlot} from './candidates.js';
import {getPrecedence} from './precedence.js';

/** Upstreams drawn at random where other hosts decide at the same time. */
const drawnBesideOthers = 2;

/** Gets the entry to grant next, and where; undefined while none of them has a free slot. */
export const getNext = (state: GroupState, entries: Iterable<Entry>): Pick | undefined => {
	const candidates = getCandidates(state).filter(candidate => candidate.available && candidate.load < candidate.slots);
	if (candidates.length === 0) {
		return undefined;
	}

	const waiting = [...entries];
	const first = getFirst(waiting, getPrecedence(state, waiting), createFit(state, candidates));
	const entry = waiting.find(item => item === first);
	if (entry === undefined) {
		return undefined;
	}

	const loaded = getLoaded(state, candidates, entry.ticket);
	const options = getOptions(state, entry);
	const upstream = chooseUpstream(loaded, entry.ticket, state.context.random, options);
	return upstream === undefined ? undefined : {entry, upstream};
};

const createFit = (state: GroupState, candidates: readonly Candidate[]): (ticket: Ticket) => boolean => {
	const known = new Map<string, boolean>();
	return ticket => {
		const key = `${ticket.needs.join('+')}|${ticket.avoid.join('+')}|${ticket.isolated ? ticket.fingerprint : ''}`;
		const fits = known.get(key) ?? (hasSlot(state, candidates, ticket) && !hasRunningTwin(state, ticket));
		known.set(key, fits);
		return fits;
	};
};

/** Whether a suspect's fingerprint runs already, so that its resends crash one upstream after another and not several at once. */
const hasRunningTwin = (state: GroupState, {isolated, fingerprint}: Ticket): boolean => isolated
	&& [...state.entries.values()].some(entry => entry.state.kind === 'running' && entry.ticket.fingerprint === fingerprint);

const getOptions = (state: GroupState, entry: Entry): ChoiceOptions => {
	const {without, zoneOf} = state.context;
	const options: ChoiceOptions = {usePrefix: !without.has('prefix'), useSpeed: !without.has('straggler')};
	const zone = zoneOf(entry.host);
	if (zone !== undefined) {
		options.zone = zone;
	}

	if (state.slotShare < 1 && !without.has('random-choice')) {
		options.drawn = drawnBesideOthers;
	}

	return options;
};
