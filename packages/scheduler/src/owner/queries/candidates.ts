import {
	type Candidate, getFitting, getLoad, stragglerSpeed,
} from '@gentianlift/policy';
import type {Milliseconds, Ticket} from '@gentianlift/types';
import type {GroupState, UpstreamState} from '../state.js';

/** A load report older than this is not used. */
const oldestReport: Milliseconds = 10_000;
/** How far the moments of a report and of grants may be apart. */
const reportBlur: Milliseconds = 150;
/** Requests of others in a report that are not believed once the owner has settled. */
const foreignTolerance = 2;
/** Part of its slots that a straggler keeps, for probing it. */
const stragglerSlots = 0.25;
/** Part of its slots that an upstream without a load report gets while other owners' grants aren't known yet. */
const unsettledSlots = 0.5;
/** Most upstreams of a group that may be held as stragglers, as a part of all. */
const mostStragglers = 0.34;
const leastSamples = 5;

/** Gets every upstream of a group with what the choice needs to know. */
export const getCandidates = (state: GroupState): Candidate[] => {
	const speeds = getRelativeSpeeds(state);
	const stragglers = getStragglers(state, speeds);
	return [...state.upstreams.values()].map(upstream => ({
		upstream: upstream.upstream,
		available: upstream.standing === 'available' || upstream.standing === 'probing',
		load: getUpstreamLoad(state, upstream),
		slots: getUpstreamSlots(state, upstream, stragglers.has(upstream)),
		relativeSpeed: speeds.get(upstream) ?? 1,
		prefixes: upstream.prefixes,
		hasSuspect: [...upstream.running].some(entry => entry.ticket.isolated),
	}));
};

/** Gets the candidates that hold what the ticket needs now, by their latest report. */
export const getLoaded = (state: GroupState, candidates: readonly Candidate[], ticket: Ticket): Candidate[] =>
	candidates.filter(candidate => isLoaded(state.upstreams.get(candidate.upstream.id), ticket));

/** Whether some upstream has a free slot for the ticket. */
export const hasSlot = (state: GroupState, candidates: readonly Candidate[], ticket: Ticket): boolean =>
	getFitting(getLoaded(state, candidates, ticket), ticket).length > 0;

const isLoaded = (upstream: UpstreamState | undefined, ticket: Ticket): boolean => {
	const report = upstream?.load?.report;
	if (report === undefined) {
		return true;
	}

	const held = new Set([...report.models.map(model => `model:${model}`), ...report.adapters.map(adapter => `adapter:${adapter}`)]);
	return !report.leaving && ticket.needs.every(need => need.startsWith('service:') || held.has(need));
};

const getUpstreamSlots = (state: GroupState, {standing, upstream, load, transit}: UpstreamState, isStraggler: boolean): number => {
	const isUnsettled = load === undefined && state.context.clock.monotonic() < state.settledAt;
	if (standing === 'probing') {
		return 1;
	}

	const share = state.slotShare * (isStraggler ? stragglerSlots : 1) * (isUnsettled ? unsettledSlots : 1);
	// A slot is free at the upstream while messages about it are under way, so a few more grants may be out.
	return Math.max(1, Math.floor(upstream.slots * share * transit.mean));
};

const getUpstreamLoad = (state: GroupState, {running, ended, load}: UpstreamState): number => {
	const now = state.context.clock.monotonic();
	if (load === undefined || now - load.receivedAt > oldestReport) {
		return running.size;
	}

	const isAtReport = (startedAt: Milliseconds, endedAt: Milliseconds): boolean =>
		startedAt <= load.at + reportBlur && endedAt >= load.at - reportBlur;
	const runningAt = [...running].filter(({state}) => state.kind === 'running' && isAtReport(state.startedAt, now));
	const endedSince = ended.filter(run => isAtReport(run.startedAt, run.endedAt));
	const tolerance = now < state.settledAt ? 0 : foreignTolerance;
	return getLoad(running.size, runningAt.length + endedSince.length + tolerance, load.report);
};

const getRelativeSpeeds = (state: GroupState): Map<UpstreamState, number> => {
	const known = [...state.upstreams.values()].filter(({decode}) => decode.samples >= leastSamples);
	const sorted = known.map(({decode}) => decode.mean).toSorted((first, second) => first - second);
	const median = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
	return new Map(known.map(upstream => [upstream, median / Math.max(upstream.decode.mean, Number.EPSILON)]));
};

const getStragglers = (state: GroupState, speeds: ReadonlyMap<UpstreamState, number>): Set<UpstreamState> => {
	if (state.context.without.has('straggler')) {
		return new Set();
	}

	const slow = [...speeds].filter(([, speed]) => speed < stragglerSpeed);
	const bound = Math.floor(state.upstreams.size * mostStragglers);
	return new Set(slow.toSorted(([, first], [, second]) => first - second).slice(0, bound).map(([upstream]) => upstream));
};
