import {
	type CustomerId, type GroupId, type HostId, type Incarnation, type Milliseconds, type Rank, type RequestId, type UpstreamId, type ClassName,
} from './ids.js';

/** A request's ticket: everything that the owner of a group needs to order and place the request. */
export type Ticket = {
	request: RequestId;
	/** Increases when the same request needs another grant, after a preemption or a retry. */
	attempt: number;
	customer: CustomerId;
	weight: number;
	className: ClassName;
	rank: Rank;
	/** Remaining time to the deadline when the message is sent; relative, because the clocks of hosts differ. */
	slack: Milliseconds;
	/** Time that the request has been queued so far. */
	waited: Milliseconds;
	expectedTokens: number;
	promptTokens: number;
	/** Names of what the upstream must provide: the model and adapter, or the service. */
	needs: string[];
	/** Digests of the prompt's prefixes, the longest last. */
	prefix: string[];
	/** Upstreams to which this request must not be sent again. */
	avoid: UpstreamId[];
	/** Whether the request is suspected of crashing upstreams and must not run together with another suspected request. */
	isolated: boolean;
	idempotent: boolean;
	/** Digest that stays the same when a caller sends the request again under another id. */
	fingerprint: string;
	/** Number of times that the request has been preempted; 0 if absent. */
	yields?: number;
	/** Whether part of the response has reached the caller; such a request is no longer shed for missing its target. */
	resumed?: boolean;
};

/** The end of a ticket, as reported by the host that requested the grant. */
export type TicketEnd = {
	request: RequestId;
	attempt: number;
	kind: 'finished' | 'failed' | 'cancelled' | 'preempted' | 'withdrawn';
	/** Number of tokens processed, for fair sharing and estimates. */
	tokens: number;
	firstTokenAfter?: Milliseconds;
	duration: Milliseconds;
	/** Whether the upstream crashed while it ran the request. */
	crashed?: boolean;
};

/** One batch from a host to the owner of a group. */
export type GrantRequest = {
	host: HostId;
	incarnation: Incarnation;
	group: GroupId;
	/** Increases with each batch, so that duplicate and out-of-order batches are detected. */
	sequence: number;
	asks: Ticket[];
	ends: TicketEnd[];
	/** All requests still queued or running at the host. Sent with a heartbeat, so that the owner recovers from lost messages. */
	held?: HeldTicket[];
};

/** A request that is queued or running, as reported by its host. */
export type HeldTicket = {
	request: RequestId;
	attempt: number;
	/** Upstream that runs it; absent while it is queued. */
	upstream?: UpstreamId;
	/** Sent if the owner may not know the ticket: after a change of owner, or when the owner requests it. */
	ticket?: Ticket;
};

/** The owner's decision on a ticket; `yield` preempts a running request. */
export type Decision
	= | {kind: 'granted'; request: RequestId; attempt: number; upstream: UpstreamId; priority: number}
		| {kind: 'waiting'; request: RequestId; attempt: number; expectedWait: Milliseconds}
		| {kind: 'shed'; request: RequestId; attempt: number; reason: ShedReason; retryAfter: Milliseconds}
		| {kind: 'yield'; request: RequestId; attempt: number};

/** Reasons for shedding a queued request. */
export const shedReasons = ['deadline-unreachable', 'queue-full', 'queue-age', 'no-upstream', 'outranked', 'crashes-upstreams'] as const;
/** One of `shedReasons`. */
export type ShedReason = typeof shedReasons[number];

/** One batch of decisions from the owner of a group to a host, in response to a request or pushed when a slot becomes free. */
export type GrantAnswer = {
	/** Whether the responding host owns the group. */
	owner: boolean;
	group: GroupId;
	decisions: Decision[];
	/** Reported requests whose tickets the owner doesn't know, and which the host sends next. */
	wanted?: RequestId[];
};
