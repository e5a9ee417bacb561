import type {HostId, Milliseconds, UpstreamObservation} from '@gentianlift/types';

/** An observation of an upstream and the host that made it. */
export type HostObservation = UpstreamObservation & {host: HostId};

/** Conclusion from the observations of one upstream: `down` if it can't be reached or crashed, `failing` if its requests fail. */
export type Verdict = 'healthy' | 'failing' | 'down';

/** Recent observations of one upstream. */
export type ObservationLog = {
	add: (observation: HostObservation) => void;
	getVerdict: (now: Milliseconds) => Verdict;
	/** Removes all observations, so that an upstream that returns is judged by new ones only. */
	clear: () => void;
};

/** Age up to which an observation counts. */
const observationWindow: Milliseconds = 10_000;
/** Age up to which a success counts as proof that the upstream works: one at another host outweighs failures at this host, and one at this host outweighs failures at others. */
const successWindow: Milliseconds = 5000;
/** Maximum number of observations kept. */
const maxObservations = 64;
/** Number of consecutive observations of an unreachable or crashed upstream from which it counts as down. */
const minConsecutiveDown = 2;
/** Number of consecutive failures from which an upstream counts as failing. */
const minConsecutiveFailures = 3;
/** Fraction of failures among the observations above which an upstream counts as failing. */
const failureRatioThreshold = 0.5;
/** Minimum number of observations for judging by the fraction of failures. */
const minObservations = 10;
/** Number of other hosts that must observe failures if this host has observed none itself. */
const minAgreeingHosts = 2;

const isDown = ({kind}: HostObservation): boolean => kind === 'unreachable' || kind === 'crashed';

const isFailure = (observation: HostObservation): boolean =>
	isDown(observation) || observation.kind === 'reset' || observation.kind === 'silent' || observation.kind === 'error';

const countTrailing = (observations: HostObservation[], matches: (item: HostObservation) => boolean): number => {
	const lastMismatch = observations.findLastIndex(item => !matches(item));
	return observations.length - 1 - lastMismatch;
};

/** Returns the number of hosts whose latest observation matches. */
const countAgreeingHosts = (observations: HostObservation[], matches: (item: HostObservation) => boolean): number => {
	const latest = new Map(observations.map(item => [item.host, item]));
	return [...latest.values()].filter(item => matches(item)).length;
};

const getOwnVerdict = (own: HostObservation[]): Verdict => {
	const failures = own.filter(item => isFailure(item)).length;
	const isCrashed = own.at(-1)?.kind === 'crashed';
	if (isCrashed || countTrailing(own, isDown) >= minConsecutiveDown) {
		return 'down';
	}

	const isAboveFailureRatio = own.length >= minObservations && failures / own.length > failureRatioThreshold;
	return isAboveFailureRatio || countTrailing(own, isFailure) >= minConsecutiveFailures ? 'failing' : 'healthy';
};

const getOtherVerdict = (others: HostObservation[]): Verdict => {
	if (countAgreeingHosts(others, isDown) >= minAgreeingHosts) {
		return 'down';
	}

	return countAgreeingHosts(others, isFailure) >= minAgreeingHosts ? 'failing' : 'healthy';
};

/** Creates an empty log; `self` is this host. */
export const createObservationLog = (self: HostId): ObservationLog => {
	let log: HostObservation[] = [];
	return {
		add(observation) {
			log = [...log.slice(1 - maxObservations), observation];
		},
		getVerdict(now) {
			log = log.filter(({at}) => now - at <= observationWindow);
			const own = log.filter(({host}) => host === self);
			const others = log.filter(({host}) => host !== self);
			const ownVerdict = getOwnVerdict(own);
			const isWorkingElsewhere = others.some(({kind, at}) => kind === 'success' && now - at <= successWindow);
			if (ownVerdict !== 'healthy') {
				return isWorkingElsewhere ? 'healthy' : ownVerdict;
			}

			const isWorkingHere = own.at(-1)?.kind === 'success' && now - (own.at(-1)?.at ?? 0) <= successWindow;
			return isWorkingHere ? 'healthy' : getOtherVerdict(others);
		},
		clear() {
			log = [];
		},
	};
};
