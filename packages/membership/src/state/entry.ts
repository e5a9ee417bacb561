import type {
	HostId, HostState, Incarnation, Member,
} from '@gentianlift/types';

/** What other hosts make of a host, from the weakest claim to the strongest. */
export const standings = ['alive', 'suspected', 'gone'] as const;
/** One of `standings`. */
export type Standing = typeof standings[number];

/** What is known of a host and changes while its process runs. */
export type Update = {
	host: HostId;
	incarnation: Incarnation;
	/** Raised by the host itself alone, to refute a claim or to change `isDraining`. */
	revision: number;
	standing: Standing;
	isDraining: boolean;
	/** Raised by the host itself when its version or load changes. */
	beat: number;
	configurationVersion: number;
	/** From 0 to 1, in steps of 1/255. */
	load: number;
};

/** A host with its addresses, which are fixed for one incarnation. */
export type Entry = Update & Pick<Member, 'zone' | 'callerAddress' | 'peerAddress' | 'gossipAddress'>;

const getRank = (standing: Standing): number => standings.indexOf(standing);

/** Whether the claim about a host in `next` stands over the one in `known`, both of the same incarnation. */
export const isNewerClaim = (next: Update, known: Update): boolean =>
	next.revision === known.revision ? getRank(next.standing) > getRank(known.standing) : next.revision > known.revision;

/** Merges an update of the same incarnation into an entry; the order of merges makes no difference. */
export const mergeUpdate = (known: Entry, next: Update): Entry => {
	const claim = isNewerClaim(next, known) ? next : known;
	const figures = next.beat > known.beat ? next : known;
	return {
		...known,
		revision: claim.revision,
		standing: claim.standing,
		isDraining: claim.isDraining,
		beat: figures.beat,
		configurationVersion: figures.configurationVersion,
		load: figures.load,
	};
};

const getState = ({standing, isDraining}: Update, isLeaving: boolean): HostState => {
	if (standing === 'gone') {
		return 'gone';
	}

	return isDraining || isLeaving ? 'draining' : standing;
};

/** Gets the member that an entry stands for; `isLeaving` is what the host list says of it. */
export const getMember = (entry: Entry, isLeaving: boolean): Member => ({
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
