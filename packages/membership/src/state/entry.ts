import type {
	HostId, HostState, Incarnation, Member,
} from '@gentianlift/types';

/** Liveness that is claimed of a host, in order of precedence: within one revision a later one overrides an earlier one. */
export const livenessStates = ['alive', 'suspected', 'gone'] as const;
/** One of `livenessStates`. */
export type Liveness = typeof livenessStates[number];

/** The part of a host's entry that changes while its process runs; small enough to be piggybacked on probes. */
export type Update = {
	host: HostId;
	incarnation: Incarnation;
	/** Incremented only by the host itself, to refute a claim or to change `isDraining`. */
	revision: number;
	liveness: Liveness;
	isDraining: boolean;
	/** Incremented by the host itself when its configuration version or load changes. */
	attributeRevision: number;
	configurationVersion: number;
	/** From 0 to 1, in steps of 1/255. */
	load: number;
};

/** An entry of the member table: the state of a host with its zone and addresses, which are fixed for one incarnation. */
export type MemberEntry = Update & Pick<Member, 'zone' | 'callerAddress' | 'peerAddress' | 'gossipAddress'>;

const getSeverity = (liveness: Liveness): number => livenessStates.indexOf(liveness);

/** Returns whether the claim about a host in `next` overrides the one in `known`, both of the same incarnation. */
export const isOverridingClaim = (next: Update, known: Update): boolean =>
	next.revision === known.revision ? getSeverity(next.liveness) > getSeverity(known.liveness) : next.revision > known.revision;

/** Merges an update of the same incarnation into an entry. Merging is commutative, so hosts that receive updates in different orders converge. */
export const mergeUpdate = (known: MemberEntry, next: Update): MemberEntry => {
	const claim = isOverridingClaim(next, known) ? next : known;
	const attributes = next.attributeRevision > known.attributeRevision ? next : known;
	return {
		...known,
		revision: claim.revision,
		liveness: claim.liveness,
		isDraining: claim.isDraining,
		attributeRevision: attributes.attributeRevision,
		configurationVersion: attributes.configurationVersion,
		load: attributes.load,
	};
};

const getState = ({liveness, isDraining}: Update, isLeaving: boolean): HostState => {
	if (liveness === 'gone') {
		return 'gone';
	}

	return isDraining || isLeaving ? 'draining' : liveness;
};

/** Returns the member for an entry; `isLeaving` is whether the host list has the host as leaving. */
export const getMember = (entry: MemberEntry, isLeaving: boolean): Member => ({
	host: entry.host,
	incarnation: entry.incarnation,
	zone: entry.zone,
	callerAddress: entry.callerAddress,
	peerAddress: entry.peerAddress,
	gossipAddress: entry.gossipAddress,
	state: getState(entry, isLeaving),
	configurationVersion: entry.configurationVersion,
	load: entry.load,
});
