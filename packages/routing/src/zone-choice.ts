import type {Milliseconds, Zone} from '@gentianlift/types';
import type {Candidate} from './choose-upstream.js';
import {getCopyProbability} from './zone-affinity.js';
import {isServing} from './zone-load.js';
import {hasZoneUpstreams} from './zone-upstreams.js';

/** Which upstreams a call chooses among by their availability zones, where that is decided by load. */
export type ZoneChoice = {
	/** Availability zone of the host that forwards the call. */
	zone: Zone;
	/** Zone that the call leaves to; undefined if it stays. */
	leavesTo: Zone | undefined;
	/** Cost of sending the call to another zone. */
	transferCost: Milliseconds;
	/** Uniform number in [0, 1), drawn for the call, which decides whether parts that another zone has cached are read again in this one. */
	copyDraw: number;
};

/** Why a call is sent to an upstream of another zone: its zone has more calls than it serves in time, the upstream has cached parts of its prompt, or the zones' loads don't decide. */
export type DepartureReason = 'excess' | 'cached' | 'constant';

/** Whether a call may be sent to enough upstreams of a zone that are likely to serve, and to some in other zones. */
export const hasZoneCandidates = (candidates: readonly Candidate[], zone: Zone): boolean =>
	hasZoneUpstreams(candidates.filter(candidate => isServing(candidate)).map(({upstream}) => upstream), zone);

/** Returns the candidates of other zones that have cached more shared parts than any of the own zone, unless the parts are to be read again there. */
const getHolders = (candidates: readonly Candidate[], {zone, transferCost, copyDraw}: ZoneChoice): Set<Candidate> => {
	let ownReread = Number.POSITIVE_INFINITY;
	let best: Candidate | undefined;
	for (const candidate of candidates) {
		if (candidate.upstream.zone === zone) {
			ownReread = Math.min(ownReread, candidate.rereadTokens);
		} else if (candidate.rereadTokens < (best?.rereadTokens ?? Number.POSITIVE_INFINITY)) {
			best = candidate;
		}
	}

	const tokens = ownReread - (best?.rereadTokens ?? 0);
	if (best === undefined || copyDraw < getCopyProbability(transferCost, {tokens, prefillRate: best.prefillRate})) {
		return new Set();
	}

	return new Set(candidates.filter(({upstream, rereadTokens}) => upstream.zone !== zone && rereadTokens < ownReread));
};

/** Returns the candidates that a call chooses among: those of its own zone, of the zone that it leaves to, and those that have cached parts which its zone hasn't. */
export const selectByZone = (candidates: readonly Candidate[], choice: ZoneChoice): readonly Candidate[] => {
	const holders = getHolders(candidates, choice);
	return candidates.filter(candidate => {
		const {zone} = candidate.upstream;
		return zone === choice.zone || zone === choice.leavesTo || holders.has(candidate);
	});
};

/** Returns why a call is sent to an upstream of another zone than its host's; undefined if it isn't. */
export const getDepartureReason = ({upstream}: Candidate, zone: Zone, choice: ZoneChoice | undefined): DepartureReason | undefined => {
	if (upstream.zone === zone) {
		return undefined;
	}

	if (choice === undefined) {
		return 'constant';
	}

	return upstream.zone === choice.leavesTo ? 'excess' : 'cached';
};
