import {
	type Candidate, getEligible, getLoad, stragglerSpeed,
} from '@gentianlift/policy';
import type {Milliseconds, Ticket} from '@gentianlift/types';
import type {GroupState, UpstreamState} from '../state.js';

/** Load reports older than this are not used. */
const maxReportAge: Milliseconds = 10_000;
/** Tolerance when the time of a load report, by the engine's clock, is compared with the times of grants, by the owner's clock. */
const reportTimeTolerance: Milliseconds = 150;
/** Number of requests in a load report that exceed this owner's grants and are still taken for measurement error, once the grants of earlier owners are known. */
const foreignRequestTolerance = 2;
/** Fraction of its slots that a straggler keeps, so that its speed is still measured. */
const stragglerSlotFraction = 0.25;
/** Fraction of its slots that an upstream without a load report gets while the grants of earlier owners are unknown. */
const unreconciledSlotFraction = 0.5;
/** Maximum fraction of a group's upstreams that are treated as stragglers. */
const maxStragglerFraction = 0.34;
/** Minimum number of samples before an upstream's speed is compared with that of others. */
const minSpeedSamples = 5;

/** Returns every upstream of a group with the facts that the choice among them depends on. */
export const getCandidates = (state: GroupState): Candidate[] => {
	const speeds = getRelativeSpeeds(state);
	const stragglers = getStragglers(state, speeds);
	return [...state.upstreams.values()].map(upstream => ({
		upstream: upstream.upstream,
		acceptsRequests: upstream.availability === 'available' || upstream.availability === 'probing',
		load: getUpstreamLoad(state, upstream),
		slots: getUpstreamSlots(state, upstream, stragglers.has(upstream)),
		relativeSpeed: speeds.get(upstream) ?? 1,
		prefixes: upstream.cachedPrefixes,
		hasSuspect: [...upstream.running].some(entry => entry.ticket.isolated),
	}));
};

/** Returns the candidates whose latest load report lists the model and adapter that the ticket needs as loaded. */
export const getLoadedCandidates = (state: GroupState, candidates: readonly Candidate[], ticket: Ticket): Candidate[] =>
	candidates.filter(candidate => isLoaded(state.upstreams.get(candidate.upstream.id), ticket));

/** Whether some upstream has a free slot for the ticket. */
export const hasFreeSlot = (state: GroupState, candidates: readonly Candidate[], ticket: Ticket): boolean =>
	getEligible(getLoadedCandidates(state, candidates, ticket), ticket).length > 0;

const isLoaded = (upstream: UpstreamState | undefined, ticket: Ticket): boolean => {
	const report = upstream?.load?.report;
	if (report === undefined) {
		return true;
	}

	const loaded = new Set([...report.models.map(model => `model:${model}`), ...report.adapters.map(adapter => `adapter:${adapter}`)]);
	return !report.leaving && ticket.needs.every(need => need.startsWith('service:') || loaded.has(need));
};

const getUpstreamSlots = (state: GroupState, {availability, upstream, load, slotHoldRatio}: UpstreamState, isStraggler: boolean): number => {
	const isUnreconciled = load === undefined && state.context.clock.monotonic() < state.reconciledAt;
	if (availability === 'probing') {
		return 1;
	}

	const fraction = state.ownerSlotFraction * (isStraggler ? stragglerSlotFraction : 1) * (isUnreconciled ? unreconciledSlotFraction : 1);
	// A slot is already free at the upstream while the message about it travels, so more grants than slots may be outstanding.
	return Math.max(1, Math.floor(upstream.slots * fraction * slotHoldRatio.mean));
};

const getUpstreamLoad = (state: GroupState, {running, recentRuns, load}: UpstreamState): number => {
	const now = state.context.clock.monotonic();
	if (load === undefined || now - load.receivedAt > maxReportAge) {
		return running.size;
	}

	const wasRunningAtReport = (startedAt: Milliseconds, endedAt: Milliseconds): boolean =>
		startedAt <= load.measuredAt + reportTimeTolerance && endedAt >= load.measuredAt - reportTimeTolerance;
	const runningAtReport = [...running].filter(({state}) => state.kind === 'running' && wasRunningAtReport(state.startedAt, now));
	const endedSinceReport = recentRuns.filter(run => wasRunningAtReport(run.startedAt, run.endedAt));
	const tolerance = now < state.reconciledAt ? 0 : foreignRequestTolerance;
	return getLoad(running.size, runningAtReport.length + endedSinceReport.length + tolerance, load.report);
};

const getRelativeSpeeds = (state: GroupState): Map<UpstreamState, number> => {
	const measured = [...state.upstreams.values()].filter(({timePerOutputToken}) => timePerOutputToken.samples >= minSpeedSamples);
	const sorted = measured.map(({timePerOutputToken}) => timePerOutputToken.mean).toSorted((first, second) => first - second);
	const median = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
	return new Map(measured.map(upstream => [upstream, median / Math.max(upstream.timePerOutputToken.mean, Number.EPSILON)]));
};

const getStragglers = (state: GroupState, speeds: ReadonlyMap<UpstreamState, number>): Set<UpstreamState> => {
	if (state.context.disabledMechanisms.has('straggler')) {
		return new Set();
	}

	const slow = [...speeds].filter(([, speed]) => speed < stragglerSpeed);
	const maxStragglers = Math.floor(state.upstreams.size * maxStragglerFraction);
	return new Set(slow.toSorted(([, first], [, second]) => first - second).slice(0, maxStragglers).map(([upstream]) => upstream));
};
