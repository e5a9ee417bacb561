import type PQueue from 'p-queue';
import type {Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {
	Estimate, FloorDebts, Group, GroupUpstream, FairShares, Suspects, QueuedTicket,
} from '@gentianlift/policy';
import type {
	GrantDecision, HostId, Incarnation, EngineLoadReport, Milliseconds, Rank, RequestId, Tier, UpstreamAvailability, UpstreamId, Zone,
} from '@gentianlift/types';
import type {GrantQueue, GrantQueueOptions} from './grant-queue.js';

/**
 * Mechanisms that can be switched off, for measurements with one mechanism switched off:
 * - `fairness`: fair sharing among the customers of a tier.
 * - `floor`: the slots that each tier is guaranteed.
 * - `prefix`: preference for upstreams that have cached a prefix of the prompt.
 * - `straggler`: avoidance of upstreams that are much slower than the others of their group.
 * - `admission`: shedding of requests that are expected to miss their deadline, or that have missed it.
 * - `preemption`: preemption of runs by requests of higher tiers.
 * - `random-choice`: choice among a random sample of the upstreams in degraded mode.
 * - `grants`: grants by the group's owner; without them, each host is in degraded mode.
 */
export const mechanisms = ['fairness', 'floor', 'prefix', 'straggler', 'admission', 'preemption', 'random-choice', 'grants'] as const;
/** One of `mechanisms`. */
export type Mechanism = typeof mechanisms[number];

/** Whether an entry waits for a slot or holds one. `isBeingPreempted` is set once the host has been asked to preempt the run. */
export type EntryState
	= | {kind: 'waiting'}
		| {kind: 'running'; upstream: UpstreamId; startedAt: Milliseconds; expectedDuration: Milliseconds; isBeingPreempted: boolean};

/** A ticket as the owner of its group tracks it. Times are on the owner's monotonic clock. */
export type TrackedTicket = QueuedTicket & {
	/** Request id and attempt, joined; the id of the entry's task in the queue. */
	key: string;
	host: HostId;
	incarnation: Incarnation;
	/** Sequence number of the host's message that carried the ticket. */
	askSequence: number;
	/** Time at which the host last named the ticket. */
	refreshedAt: Milliseconds;
	state: EntryState;
	/** Ends the entry's task in the queue, whether it waits or runs. */
	endTask: () => void;
};

/** A run of a request on an upstream that ended recently. */
export type CompletedRun = {startedAt: Milliseconds; endedAt: Milliseconds; fingerprint: string; failed: boolean};

/** The owner's view of an upstream. */
export type UpstreamState = {
	upstream: GroupUpstream;
	availability: UpstreamAvailability;
	/** Latest load report. `measuredAt` is the time of the measurement, converted to the owner's monotonic clock. */
	load?: {report: EngineLoadReport; measuredAt: Milliseconds; receivedAt: Milliseconds};
	running: Set<TrackedTicket>;
	recentRuns: CompletedRun[];
	/** Digests of the prompt prefixes that its cache is assumed to hold, least recently used first. */
	cachedPrefixes: Set<string>;
	/** Milliseconds per output token. */
	timePerOutputToken: Estimate;
	/** Time for which a grant holds its slot at the owner, divided by the duration of its run at the host; above 1 because of message latency. */
	slotHoldRatio: Estimate;
	/** The last crash, and the fingerprints that it made suspects. */
	lastCrash?: {at: Milliseconds; fingerprints: Set<string>};
};

/** Estimates of the runs of one class. */
export type ClassEstimates = {
	outputTokens: Estimate;
	timeToFirstToken: Estimate;
	/** Duration of the whole run, in milliseconds. */
	duration: Estimate;
};

/** Dependencies and state that all groups of an owner share. */
export type OwnerContext = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	getZone: (host: HostId) => Zone | undefined;
	disabledMechanisms: ReadonlySet<Mechanism>;
	tiers: readonly Tier[];
	suspects: Suspects;
};

/** The state of one group at its owner. */
export type GroupState = {
	readonly context: OwnerContext;
	group: Group;
	readonly upstreams: Map<UpstreamId, UpstreamState>;
	/** Waiting and running entries, by request. */
	readonly entries: Map<RequestId, TrackedTicket>;
	/** Highest attempt that has ended, by request, with its time; messages about it that arrive later have no effect. */
	readonly endedAttempts: Map<RequestId, {attempt: number; at: Milliseconds}>;
	/** Weighted service that customers have received, for fair sharing within a tier. */
	readonly fairShares: FairShares;
	/** Service owed to each tier by its floor, by rank. */
	floorDebts: FloorDebts;
	/** Fraction of the slots that each tier uses, by rank, as an exponential moving average. */
	rankUtilization: ReadonlyMap<Rank, number>;
	/** Time up to which `floorDebts` and `rankUtilization` are accounted. */
	accountedUntil: Milliseconds;
	/** Time of the last scheduling pass. */
	lastPassAt: Milliseconds;
	readonly estimates: Map<string, ClassEstimates>;
	/** Time from which the grants of earlier owners are assumed to be known, since the hosts have reported them. */
	reconciledAt: Milliseconds;
	/** Fraction of each upstream's slots that this owner may use: 1 at the group's owner, and in degraded mode, when that owner can't be reached, this host's share. */
	ownerSlotFraction: number;
	/** Decisions that are not sent yet, by host. */
	readonly outbox: Map<HostId, GrantDecision[]>;
	readonly latestSequences: Map<HostId, {incarnation: Incarnation; sequence: number}>;
	readonly queue: PQueue<GrantQueue, GrantQueueOptions>;
	nextSequence: number;
};

/** Returns the key of a ticket. */
export const getEntryKey = (request: RequestId, attempt: number): string => `${request}/${attempt}`;

/** Returns the waiting entries of a group. */
export const getWaitingEntries = (state: GroupState): TrackedTicket[] => [...state.entries.values()].filter(entry => entry.state.kind === 'waiting');

/** Returns how many slots this owner may use on all upstreams of a group that accept requests; at least 1. */
export const getUsableSlots = (state: GroupState): number => {
	let slots = 0;
	for (const {availability, upstream} of state.upstreams.values()) {
		slots += availability === 'available' || availability === 'probing' ? upstream.slots : 0;
	}

	return Math.max(1, slots * state.ownerSlotFraction);
};
