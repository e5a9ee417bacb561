import type {Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {Group} from '@gentianlift/policy';
import type {
	ClassifiedRequest, GrantAnswer, GroupId, HostId, Incarnation, Milliseconds, PeerCalls, Rank, RequestId, Settings, ShedReason, Ticket, TicketEnd, UpstreamId,
} from '@gentianlift/types';
import type {GroupOwner, Mechanism} from '../owner/index.js';

/** The answer to a request that asks for an upstream. */
export type Grant
	= | {
		kind: 'granted';
		upstream: UpstreamId;
		/** Priority for the engine; the least number goes first. */
		priority: number;
		/** Aborted when the request is to yield its slot. */
		yieldSignal: AbortSignal;
	}
	| {kind: 'shed'; reason: ShedReason; retryAfter: Milliseconds}
	/** The host took the request back before it was granted. */
	| {kind: 'withdrawn'};

/** What an ask may carry beside the request. */
export type AskOptions = {
	/** Rises by one each time the request asks again; 1 if absent. */
	attempt?: number;
	/** Upstreams that the request must not go to again. */
	avoid?: UpstreamId[];
	/** True to run alone among suspects. */
	isolated?: boolean;
	/** How often the request has yielded. */
	yields?: number;
	/** True once part of the answer has reached the caller. */
	resumed?: boolean;
	/** Bytes that the request holds while it waits. */
	bytes?: number;
};

/** What a client of grants needs. */
export type GrantClientOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	self: HostId;
	incarnation: Incarnation;
	peers: Pick<PeerCalls, 'exchangeGrants'>;
	/** Host that owns a group by this host's view. */
	getOwnerOf: (group: GroupId) => HostId | undefined;
	getLocalOwner: () => GroupOwner;
	/** Groups of the configuration in force. */
	getGroups: () => readonly Group[];
	order?: Settings['order'];
	without?: readonly Mechanism[];
};

/** Asks the owners of groups for upstreams. */
export type GrantClient = {
	/** Resolves once the request may go to an upstream, or is refused. */
	ask: (request: ClassifiedRequest, options?: AskOptions) => Promise<Grant>;
	/** Tells how a granted request's attempt ended, and gives its slot back. */
	end: (end: TicketEnd) => void;
	/** Takes back a request that waits, for example when its caller has gone. */
	withdraw: (request: RequestId) => void;
	/** Takes in decisions that an owner pushes. */
	receive: (answer: GrantAnswer) => void;
	/** Requests that wait and run. */
	getCounts: () => {waiting: number; running: number; bytes: number};
	stop: () => void;
};

/** A request that waits or runs at this host. */
export type Pending = {
	ticket: Ticket;
	group: GroupId;
	rank: Rank;
	bytes: number;
	/** Monotonic. */
	askedAt: Milliseconds;
	/** Monotonic. */
	deadline: Milliseconds;
	/** Absent while it waits. */
	upstream?: UpstreamId;
	/** True once it has gone to a second group. */
	moved: boolean;
	resolve: (grant: Grant) => void;
	yielding: AbortController;
};

/** How this host reaches the order of a group. */
export type LineMode = 'owner' | 'alone';

/** This host's exchange with the owner of one group. */
export type Line = {
	group: GroupId;
	/** Owner that knows this host's tickets. */
	owner: HostId | undefined;
	mode: LineMode;
	/** Tickets to send. */
	asks: Set<Pending>;
	/** Ends to send. */
	ends: TicketEnd[];
	pending: Map<RequestId, Pending>;
	sequence: number;
	/** Exchanges under way. */
	inFlight: number;
	failures: number;
	/** Monotonic; no exchange before this moment. */
	notBefore: Milliseconds;
	/** Monotonic moment of the next message that names all held tickets. */
	heartbeatAt: Milliseconds;
	/** Whether held tickets are sent whole. */
	sendsTickets: boolean;
};
