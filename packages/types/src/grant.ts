import {
	type CustomerId, type GroupId, type HostId, type Incarnation, type Milliseconds, type Rank, type RequestId, type UpstreamId, type ClassName,
} from './ids.js';

/** What the owner of a group has to know of a waiting request to order it. */
export type Ticket = {
	request: RequestId;
	/** Rises when the same request asks again, after a preemption or a retry. */
	attempt: number;
	customer: CustomerId;
	weight: number;
	className: ClassName;
	rank: Rank;
	/** Time left till the deadline, counted from when the message is sent, since clocks of hosts differ. */
	slack: Milliseconds;
	/** Time that the request has waited so far. */
	waited: Milliseconds;
	expectedTokens: number;
	promptTokens: number;
	/** Names of what the upstream must hold: the model and adapter, or the service. */
	needs: string[];
	/** Digests of prompt chunks, longest prefix last. */
	prefix: string[];
	/** Upstreams that this request must not go to again. */
	avoid: UpstreamId[];
	/** True while the request is suspected of crashing upstreams and must run alone. */
	isolated: boolean;
	idempotent: boolean;
	/** Same for resends of the request under other ids. */
	fingerprint: string;
	/** How often the request has yielded its slot; 0 if absent. */
	yields?: number;
	/** True once part of the answer has reached the caller: such a request is no longer shed for its target. */
	resumed?: boolean;
};

/** A ticket's end at the host that asked. */
export type TicketEnd = {
	request: RequestId;
	attempt: number;
	kind: 'finished' | 'failed' | 'cancelled' | 'preempted' | 'withdrawn';
	/** Service used, for fairness and estimates. */
	tokens: number;
	firstTokenAfter?: Milliseconds;
	duration: Milliseconds;
	/** True when the upstream crashed while it ran the request. */
	crashed?: boolean;
};

/** One batch from a host to the owner of a group. */
export type GrantRequest = {
	host: HostId;
	incarnation: Incarnation;
	group: GroupId;
	/** Rises with each batch, so that a repeated or late one is recognised. */
	sequence: number;
	asks: Ticket[];
	ends: TicketEnd[];
	/** Requests still waiting or running at the host, sent with a heartbeat so that lost messages heal. */
	held?: HeldTicket[];
};

/** A request that waits or runs at the host that asked. */
export type HeldTicket = {
	request: RequestId;
	attempt: number;
	/** Where it runs; absent while it waits. */
	upstream?: UpstreamId;
	/** Sent when the owner doesn't know the ticket: after a change of owner, or on its wish. */
	ticket?: Ticket;
};

/** The owner's decision on a ticket. */
export type Decision
	= | {kind: 'granted'; request: RequestId; attempt: number; upstream: UpstreamId; priority: number}
		| {kind: 'waiting'; request: RequestId; attempt: number; expectedWait: Milliseconds}
		| {kind: 'shed'; request: RequestId; attempt: number; reason: ShedReason; retryAfter: Milliseconds}
		| {kind: 'yield'; request: RequestId; attempt: number};

/** Why a waiting request is refused. */
export const shedReasons = ['deadline-unreachable', 'queue-full', 'queue-age', 'no-upstream', 'outranked', 'crashes-upstreams'] as const;
/** One of `shedReasons`. */
export type ShedReason = typeof shedReasons[number];

/** One batch from the owner of a group to a host: an answer, or pushed when a slot comes free. */
export type GrantAnswer = {
	/** False when the host that answers doesn't own the group. */
	owner: boolean;
	group: GroupId;
	decisions: Decision[];
	/** Held requests whose tickets the owner doesn't know; the host sends them. */
	wanted?: RequestId[];
};
