import type PQueue from 'p-queue';
import type {Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {
	Estimate, FloorDebts, Group, GroupUpstream, Shares, Suspects, Waiting,
} from '@gentianlift/policy';
import type {
	Decision, HostId, Incarnation, LoadReport, Milliseconds, Rank, RequestId, Tier, UpstreamId, Zone,
} from '@gentianlift/types';
import type {GrantQueue, GrantQueueOptions} from './grant-queue.js';

/** How an upstream stands with the host: `probing` takes one request at a time. */
export const standings = ['available', 'probing', 'ejected', 'leaving'] as const;
/** One of `standings`. */
export type Standing = typeof standings[number];

/** Mechanisms that can be switched off for ablation measurements. */
export const mechanisms = ['fairness', 'floor', 'prefix', 'straggler', 'admission', 'preemption', 'random-choice', 'grants'] as const;
/** One of `mechanisms`. */
export type Mechanism = typeof mechanisms[number];

/** Where an entry stands at the owner. */
export type EntryState
	= | {kind: 'waiting'}
		| {kind: 'running'; upstream: UpstreamId; startedAt: Milliseconds; expected: Milliseconds; yielding: boolean};

/** A ticket at the owner of its group. Times are on the owner's monotonic clock. */
export type Entry = Waiting & {
	/** Request and attempt as text. */
	key: string;
	host: HostId;
	incarnation: Incarnation;
	/** Sequence of the host's message that brought the ticket. */
	askedIn: number;
	refreshedAt: Milliseconds;
	state: EntryState;
	/** Ends the entry's part in the queue. */
	finish: () => void;
};

/** A run that ended lately. */
export type EndedRun = {startedAt: Milliseconds; endedAt: Milliseconds; fingerprint: string; failed: boolean};

/** What the owner knows of an upstream. */
export type UpstreamState = {
	upstream: GroupUpstream;
	standing: Standing;
	load?: {report: LoadReport; at: Milliseconds; receivedAt: Milliseconds};
	running: Set<Entry>;
	ended: EndedRun[];
	/** Digests of prefixes that it is taken to hold, oldest first. */
	prefixes: Set<string>;
	/** Milliseconds for each output token. */
	decode: Estimate;
	/** How many times as long a grant is out as its run takes at the host; more than 1 by the time of messages. */
	transit: Estimate;
	/** The last crash, and the fingerprints that count as its suspects. */
	crash?: {at: Milliseconds; fingerprints: Set<string>};
};

/** Estimates by class. */
export type ClassEstimates = {
	tokens: Estimate;
	firstToken: Estimate;
	/** Whole duration in milliseconds. */
	duration: Estimate;
};

/** What all groups of an owner share. */
export type OwnerContext = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	zoneOf: (host: HostId) => Zone | undefined;
	without: ReadonlySet<Mechanism>;
	tiers: readonly Tier[];
	suspects: Suspects;
};

/** The state of one group at its owner. */
export type GroupState = {
	readonly context: OwnerContext;
	group: Group;
	readonly upstreams: Map<UpstreamId, UpstreamState>;
	/** Waiting and running entries by request. */
	readonly entries: Map<RequestId, Entry>;
	/** Highest attempt that ended, by request, and when; so that late messages have no effect. */
	readonly ended: Map<RequestId, {attempt: number; at: Milliseconds}>;
	readonly shares: Shares;
	floorDebts: FloorDebts;
	/** Part of the slots that ranks had lately, as a moving mean. */
	use: ReadonlyMap<Rank, number>;
	/** Moment up to which debts and use are counted. */
	countedTo: Milliseconds;
	/** Moment of the last review. */
	reviewedAt: Milliseconds;
	readonly estimates: Map<string, ClassEstimates>;
	/** Moment from which other owners' grants are taken to be known. */
	settledAt: Milliseconds;
	/** Share of each upstream's slots that this owner may use; below 1 where other hosts decide beside it. */
	slotShare: number;
	readonly outbox: Map<HostId, Decision[]>;
	readonly sequences: Map<HostId, {incarnation: Incarnation; sequence: number}>;
	readonly queue: PQueue<GrantQueue, GrantQueueOptions>;
	nextSequence: number;
};

/** Text that names a ticket. */
export const getEntryKey = (request: RequestId, attempt: number): string => `${request}/${attempt}`;

/** Gets the waiting entries of a group. */
export const getWaiting = (state: GroupState): Entry[] => [...state.entries.values()].filter(entry => entry.state.kind === 'waiting');

/** Gets the slots of all upstreams of a group that take work. */
export const getSlots = (state: GroupState): number => {
	let slots = 0;
	for (const {standing, upstream} of state.upstreams.values()) {
		slots += standing === 'available' || standing === 'probing' ? upstream.slots : 0;
	}

	return Math.max(1, slots * state.slotShare);
};
