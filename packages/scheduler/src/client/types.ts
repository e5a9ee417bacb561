import type {Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {Group} from '@gentianlift/policy';
import type {
	ClassifiedRequest, GrantAnswer, GroupId, HostId, Incarnation, Milliseconds, PeerCalls, Rank, RequestId, Settings, ShedReason, Ticket, TicketEnd, UpstreamId,
} from '@gentianlift/types';
import type {GroupOwner, Mechanism} from '../owner/index.js';

/** The answer to a request for an upstream slot. */
export type GrantOutcome
	= | {
		kind: 'granted';
		upstream: UpstreamId;
		/** Priority for the engine; the lowest number goes first. */
		priority: number;
		/** Aborted when a request of a higher tier preempts this one. */
		preemptionSignal: AbortSignal;
	}
	| {kind: 'shed'; reason: ShedReason; retryAfter: Milliseconds}
	/** The host withdrew the request before it was granted a slot. */
	| {kind: 'withdrawn'};

/** Options of one attempt to get a slot for a request. */
export type GrantOptions = {
	/** Number of the attempt, which rises by one each time a slot is requested again; 1 if absent. */
	attempt?: number;
	/** Upstreams that the request must not be sent to again. */
	avoid?: UpstreamId[];
	/** True if the request must not run on an upstream together with another suspected of crashing upstreams. */
	isolated?: boolean;
	/** Number of preemptions of the request so far, sent as `yields`; 0 if absent. */
	preemptions?: number;
	/** True once part of the answer has reached the caller. */
	resumed?: boolean;
	/** Memory in bytes that the request takes up while it waits; 0 if absent. */
	bytes?: number;
};

/** Options of a grant client. */
export type GrantClientOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	self: HostId;
	incarnation: Incarnation;
	peers: Pick<PeerCalls, 'exchangeGrants'>;
	/** Returns the host that owns a group in this host's view. */
	getOwnerOf: (group: GroupId) => HostId | undefined;
	/** Returns the owner that runs on this host. */
	getLocalOwner: () => GroupOwner;
	/** Returns the groups of the current configuration. */
	getGroups: () => readonly Group[];
	/** Order in which requests get slots; `policy` if absent, the others are baselines for comparison. */
	order?: Settings['order'];
	/** Mechanisms that are switched off. */
	disabledMechanisms?: readonly Mechanism[];
};

/** Requests upstream slots from the owners of groups. */
export type GrantClient = {
	/** Requests a slot; resolves once the request is granted one, shed or withdrawn. */
	requestGrant: (request: ClassifiedRequest, options?: GrantOptions) => Promise<GrantOutcome>;
	/** Reports how an attempt that was granted a slot ended, and frees the slot. */
	reportEnd: (end: TicketEnd) => void;
	/** Withdraws a waiting request, for example when its caller has disconnected. */
	withdraw: (request: RequestId) => void;
	/** Applies the decisions that an owner has pushed. */
	applyDecisions: (answer: GrantAnswer) => void;
	/** Returns the numbers of waiting and running requests, and the memory in bytes that the waiting ones take up. */
	getCounts: () => {waiting: number; running: number; bytes: number};
	stop: () => void;
};

/** A request that waits or runs at this host. */
export type HeldRequest = {
	ticket: Ticket;
	group: GroupId;
	rank: Rank;
	bytes: number;
	/** By the monotonic clock. */
	requestedAt: Milliseconds;
	/** By the monotonic clock. */
	deadline: Milliseconds;
	/** Absent while the request waits. */
	upstream?: UpstreamId;
	/** True once the request has been moved to a second group. */
	hasMoved: boolean;
	/** Resolves the promise that the caller waits for. */
	resolve: (grant: GrantOutcome) => void;
	/** Aborts the preemption signal of the grant. */
	preemptionController: AbortController;
};

/** Who grants this host the slots of a group: `owner` is the group's owner; `alone`, in degraded mode, this host itself. */
export type SessionMode = 'owner' | 'alone';

/** State of this host's exchange of messages with the owner of one group. */
export type GroupSession = {
	group: GroupId;
	/** Owner that the last batch was sent to; undefined before the first batch, after a failure and after degraded mode. */
	owner: HostId | undefined;
	mode: SessionMode;
	/** Requests whose tickets are to be sent. */
	unsentRequests: Set<HeldRequest>;
	/** Ends of attempts that are to be sent. */
	unsentEnds: TicketEnd[];
	heldRequests: Map<RequestId, HeldRequest>;
	/** Sequence number of the last batch. */
	sequence: number;
	/** Exchanges in flight. */
	inFlight: number;
	consecutiveFailures: number;
	/** Time by the monotonic clock before which no exchange with the owner is started. */
	notBefore: Milliseconds;
	/** Time by the monotonic clock of the next heartbeat, a message that names all held requests. */
	nextHeartbeatAt: Milliseconds;
	/** Whether the next heartbeat includes the tickets of held requests, since the owner doesn't know them. */
	includesTickets: boolean;
};
