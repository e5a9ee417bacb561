import {type Candidate, hasNeeds} from '@gentianlift/policy';
import type {Milliseconds, Rank} from '@gentianlift/types';
import {getCandidates, hasSlot} from '../queries/candidates.js';
import {
	getEstimates, getRemaining, getTimeToTarget, isService,
} from '../queries/times.js';
import {getInOrder} from '../queries/waits.js';
import {type Entry, getSlots, type GroupState} from '../state.js';
import {send} from './entries.js';

/** How often one request may yield. */
export const mostYields = 2;
/** Waiting entries looked at in one review. */
const mostLooked = 32;
/** A run yields only if it has more left than this many times what starting again costs. */
const restartFactor = 2;

/** Asks runs of lower ranks to yield to waiting entries that would otherwise miss their target. */
export const preempt = (state: GroupState): void => {
	if (state.context.without.has('preemption')) {
		return;
	}

	const inOrder = getInOrder(state).slice(0, mostLooked);
	const candidates = inOrder.length === 0 ? [] : getCandidates(state);
	const now = state.context.clock.monotonic();
	let underWay = [...state.entries.values()].filter(entry => entry.state.kind === 'running' && entry.state.yielding).length;
	for (const [place, entry] of inOrder.entries()) {
		if (underWay > 0) {
			underWay--;
		} else if (isTight(state, entry, candidates, place)) {
			yieldTo(state, entry, now);
		}
	}
};

const yieldTo = (state: GroupState, entry: Entry, now: Milliseconds): void => {
	const victim = getVictim(state, entry, now);
	if (victim?.state.kind !== 'running') {
		return;
	}

	victim.state.yielding = true;
	send(state, victim.host, {kind: 'yield', request: victim.ticket.request, attempt: victim.ticket.attempt});
	state.context.metrics.count('yields', {rank: String(victim.ticket.rank)});
};

/** Whether the entry, at its place in the order, misses its target unless a slot comes free before its time. */
const isTight = (state: GroupState, entry: Entry, candidates: readonly Candidate[], place: number): boolean => {
	if (hasSlot(state, candidates, entry.ticket)) {
		return false;
	}

	const now = state.context.clock.monotonic();
	const ends = getRunning(state, entry).map(running => getRemaining(running, now)).toSorted((first, second) => first - second);
	const turn = ends[place] ?? ends.at(-1) ?? 0;
	return entry.deadline - now - getTimeToTarget(state, entry.ticket) < turn;
};

/** Gets the run whose yielding costs least: of the lowest rank, with the most left to do. */
const getVictim = (state: GroupState, entry: Entry, now: Milliseconds): Entry | undefined => {
	const counts = getCounts(state);
	const victims = getRunning(state, entry).filter(running =>
		running.ticket.rank > entry.ticket.rank && mayYield(state, running, counts) && pays(state, running, now));
	return victims.toSorted((first, second) =>
		second.ticket.rank - first.ticket.rank || getRemaining(second, now) - getRemaining(first, now))[0];
};

const getRunning = (state: GroupState, {ticket}: Entry): Entry[] => [...state.upstreams.values()]
	.filter(({upstream, standing}) => standing === 'available' && hasNeeds(upstream, ticket.needs) && !ticket.avoid.includes(upstream.id))
	.flatMap(({running}) => [...running]);

const mayYield = (state: GroupState, {ticket, state: standing}: Entry, counts: ReadonlyMap<Rank, number>): boolean => {
	const floor = Math.ceil((state.context.tiers[ticket.rank]?.floor ?? 0) * getSlots(state));
	const isAboveFloor = state.context.without.has('floor') || (counts.get(ticket.rank) ?? 0) > floor;
	const isYielding = standing.kind === 'running' && standing.yielding;
	return !isYielding && isAboveFloor && ticket.idempotent && !isService(ticket) && (ticket.yields ?? 0) < mostYields;
};

const pays = (state: GroupState, entry: Entry, now: Milliseconds): boolean =>
	getRemaining(entry, now) > restartFactor * getEstimates(state, entry.ticket).firstToken.mean;

/** Gets how many runs of each rank go on, without those that yield already. */
const getCounts = (state: GroupState): Map<Rank, number> => {
	const counts = new Map<Rank, number>();
	for (const {ticket, state: standing} of state.entries.values()) {
		if (standing.kind === 'running' && !standing.yielding) {
			counts.set(ticket.rank, (counts.get(ticket.rank) ?? 0) + 1);
		}
	}

	return counts;
};
