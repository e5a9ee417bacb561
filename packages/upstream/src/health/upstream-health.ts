import type {Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {
	HostId, UpstreamAvailability, UpstreamId, UpstreamObservation,
} from '@gentianlift/types';
import {
	addSuccess, eject, startProbingWhenDue, getTrafficFraction, type EjectionState,
} from './ejection.js';
import {createObservationLog, type ObservationLog, type Verdict} from './observation-log.js';
import {createLeavingUpstreams, type LeavingSource} from './leaving-upstreams.js';

/** Health of the upstreams as this host judges it, with ejection of failing upstreams. */
export type UpstreamHealth = {
	/** Records a host's observation of an upstream; `host` is this host by default. */
	record: (observation: UpstreamObservation, host?: HostId) => void;
	/** Records that a source reports an upstream as leaving, or no longer does. */
	setLeaving: (upstream: UpstreamId, source: LeavingSource, isLeaving: boolean) => void;
	getAvailability: (upstream: UpstreamId) => UpstreamAvailability;
	/** Returns the fraction of its usual traffic that an upstream may get, from 0 to 1. */
	getTrafficFraction: (upstream: UpstreamId) => number;
	/** Returns the upstreams to probe; only successes make them available again. */
	getProbingUpstreams: () => UpstreamId[];
	/** Registers a listener that is called when this host ejects an upstream, so that the other hosts can be notified. */
	onEject: (listener: (observation: UpstreamObservation) => void) => void;
};

/** Options of `createUpstreamHealth`. */
export type UpstreamHealthOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	self: HostId;
	/** Returns all upstreams that can do the same work as the given one, including that one. */
	getEquivalentUpstreams: (upstream: UpstreamId) => UpstreamId[];
};

type UpstreamState = {ejection: EjectionState; observations: ObservationLog};

/** Maximum fraction of the upstreams for the same work up to which a failing one is ejected; one that is down is always ejected. */
const maxEjectedFraction = 0.5;

/** Creates the health state of the upstreams, all of which start as available. */
export const createUpstreamHealth = ({clock, random, metrics, self, getEquivalentUpstreams}: UpstreamHealthOptions): UpstreamHealth => {
	const states = new Map<UpstreamId, UpstreamState>();
	const leavingUpstreams = createLeavingUpstreams();
	const listeners = new Set<(observation: UpstreamObservation) => void>();

	const getState = (upstream: UpstreamId): UpstreamState => {
		const state = states.get(upstream) ?? {
			ejection: {kind: 'available', since: clock.monotonic(), level: 0}, observations: createObservationLog(self),
		};
		states.set(upstream, state);
		state.ejection = startProbingWhenDue(state.ejection, clock.monotonic());
		return state;
	};

	const isEjected = (upstream: UpstreamId): boolean => getState(upstream).ejection.kind === 'ejected';

	const canEject = (upstream: UpstreamId, verdict: Verdict): boolean => {
		if (verdict === 'down') {
			return true;
		}

		const equivalents = getEquivalentUpstreams(upstream);
		const ejected = equivalents.filter(equivalent => isEjected(equivalent)).length;
		return ejected + 1 <= equivalents.length * maxEjectedFraction;
	};

	const applyVerdict = (state: UpstreamState, observation: UpstreamObservation, host: HostId): void => {
		const {upstream, kind} = observation;
		const hasProbeFailed = state.ejection.kind === 'probing' && host === self && kind !== 'success' && kind !== 'refused';
		const verdict = hasProbeFailed ? 'failing' : state.observations.getVerdict(clock.monotonic());
		if (verdict === 'healthy' || state.ejection.kind === 'ejected') {
			return;
		}

		if (!canEject(upstream, verdict)) {
			metrics.count('upstream_ejections_capped');
			return;
		}

		state.ejection = eject(state.ejection, clock.monotonic(), random);
		state.observations.clear();
		metrics.count('upstream_ejections', {reason: kind});
		if (host === self) {
			for (const listener of listeners) {
				listener(observation);
			}
		}
	};

	const record = (observation: UpstreamObservation, host: HostId = self): void => {
		const state = getState(observation.upstream);
		const now = clock.monotonic();
		if (observation.kind === 'leaving') {
			leavingUpstreams.set(observation.upstream, 'upstream', true, now);
			return;
		}

		if (observation.kind === 'unreachable' && host === self) {
			// An upstream that was leaving has stopped; if it becomes reachable again, it is a new process.
			leavingUpstreams.set(observation.upstream, 'upstream', false, now);
		}

		state.observations.add({...observation, at: now, host});
		if (observation.kind === 'success' && host === self) {
			state.ejection = addSuccess(state.ejection, now);
		}

		applyVerdict(state, observation, host);
	};

	return {
		record,
		setLeaving(upstream, source, isLeaving) {
			leavingUpstreams.set(upstream, source, isLeaving, clock.monotonic());
		},
		getAvailability(upstream) {
			return leavingUpstreams.has(upstream, clock.monotonic()) ? 'leaving' : getState(upstream).ejection.kind;
		},
		getTrafficFraction(upstream) {
			return leavingUpstreams.has(upstream, clock.monotonic()) ? 0 : getTrafficFraction(getState(upstream).ejection, clock.monotonic());
		},
		getProbingUpstreams: () => [...states.keys()].filter(upstream => getState(upstream).ejection.kind === 'probing'),
		onEject(listener) {
			listeners.add(listener);
		},
	};
};
