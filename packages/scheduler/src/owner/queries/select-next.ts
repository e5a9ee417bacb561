import {
	type Candidate, chooseUpstream, findFirst, type ChoiceOptions,
} from '@gentianlift/policy';
import type {Ticket} from '@gentianlift/types';
import type {Assignment} from '../grant-queue.js';
import type {TrackedTicket, GroupState} from '../state.js';
import {getCandidates, getLoadedCandidates, hasFreeSlot} from './candidates.js';
import {getPrecedence} from './precedence.js';

/** Number of upstreams sampled at random in degraded mode, where other hosts choose concurrently. */
const degradedSampleSize = 2;

/** Returns the entry to grant next and its upstream; undefined while no upstream has a free slot for any entry. */
export const selectNext = (state: GroupState, entries: Iterable<TrackedTicket>): Assignment | undefined => {
	const candidates = getCandidates(state).filter(candidate => candidate.acceptsRequests && candidate.load < candidate.slots);
	if (candidates.length === 0) {
		return undefined;
	}

	const waiting = [...entries];
	const first = findFirst(waiting, getPrecedence(state, waiting), createFitCheck(state, candidates));
	const entry = waiting.find(item => item === first);
	if (entry === undefined) {
		return undefined;
	}

	const loaded = getLoadedCandidates(state, candidates, entry.ticket);
	const options = getChoiceOptions(state, entry);
	const upstream = chooseUpstream(loaded, entry.ticket, state.context.random, options);
	return upstream === undefined ? undefined : {entry, upstream};
};

const createFitCheck = (state: GroupState, candidates: readonly Candidate[]): (ticket: Ticket) => boolean => {
	const results = new Map<string, boolean>();
	return ticket => {
		const key = `${ticket.needs.join('+')}|${ticket.avoid.join('+')}|${ticket.isolated ? ticket.fingerprint : ''}`;
		const fits = results.get(key) ?? (hasFreeSlot(state, candidates, ticket) && !hasRunningDuplicate(state, ticket));
		results.set(key, fits);
		return fits;
	};
};

/** Whether a request with the same fingerprint as an isolated one runs. Such requests run one at a time, so that the retries of one can't crash several upstreams at once. */
const hasRunningDuplicate = (state: GroupState, {isolated, fingerprint}: Ticket): boolean => isolated
	&& [...state.entries.values()].some(entry => entry.state.kind === 'running' && entry.ticket.fingerprint === fingerprint);

const getChoiceOptions = (state: GroupState, entry: TrackedTicket): ChoiceOptions => {
	const {disabledMechanisms, getZone} = state.context;
	const options: ChoiceOptions = {usePrefix: !disabledMechanisms.has('prefix'), useSpeed: !disabledMechanisms.has('straggler')};
	const zone = getZone(entry.host);
	if (zone !== undefined) {
		options.zone = zone;
	}

	if (state.ownerSlotFraction < 1 && !disabledMechanisms.has('random-choice')) {
		options.sampleSize = degradedSampleSize;
	}

	return options;
};
