import type {
	ClaimDecision, ClaimKey, ClaimOutcome,
} from './claim.js';
import type {EngineLoadReport} from './engine.js';
import type {GrantResponse, GrantRequest} from './grant.js';
import type {
	ClassName, HostId, Incarnation, Milliseconds, ModelName, Rank, RequestId, UpstreamId,
} from './ids.js';
import type {ConfigurationVersion} from './inventory.js';
import type {Account} from './request.js';

/** Outcome of a call to another host; after `unknown`, the call may have been executed. */
export type PeerOutcome<Answer>
	= | {kind: 'answered'; answer: Answer}
		| {kind: 'unreachable'; reason: string}
		| {kind: 'unknown'; reason: string};

/** Requests that the owner of a claim's slot store the claim. */
export type ClaimRequest = {
	key: ClaimKey;
	digest: string;
	className?: ClassName;
	request: RequestId;
	host: HostId;
	incarnation: Incarnation;
};

/** Reports to the owner of a claim's slot how the claimed request ended. */
export type ClaimSettlement = {
	key: ClaimKey;
	request: RequestId;
	/** Upstream that ran the request, or may have. */
	upstream?: UpstreamId;
	outcome: ClaimOutcome;
};

/** Outcome of a settlement at the owner of the claim's slot. */
export type SettlementOutcome = {
	stored: boolean;
	/** Whether the settlement has to be sent again because the key-value service could not be written. */
	retry?: boolean;
};

/** A host's use of shared limits since its last message, and the use that it expects next. */
export type QuotaRequest = {
	host: HostId;
	/** Name of the limit, such as `requests:<customer>` or `retries:<class>`. */
	limits: Array<{limit: string; used: number; wanted: number}>;
};

/** Shares of shared limits that a host may use until they expire. */
export type QuotaResponse = {
	owner: boolean;
	shares: Array<{limit: string; allowed: number; duration: Milliseconds}>;
};

/** A host's configuration, as another host reads it; `packed` is the newest version as base64-encoded compressed JSON, sent in place of `newest`. */
export type ConfigurationResponse = {newest?: ConfigurationVersion; packed?: string; version?: number; age?: Milliseconds};

/** Current demand of one class for one model or adapter. */
export type ModelDemand = {
	className: ClassName;
	/** Name of the model or adapter. */
	needs: ModelName;
	rank: Rank;
	running: number;
	waiting: number;
	/** Time for which one request occupies a slot. */
	serviceTime: Milliseconds;
	/** Time within which a queued request has to start. */
	target: Milliseconds;
};

/** A host's input to the placement of models on engines. */
export type PlacementFacts = {
	/** Demand from the host's own callers. */
	demands: ModelDemand[];
	/** Latest load reports of the engines whose requests the host schedules. */
	reports: Array<{upstream: UpstreamId; report: EngineLoadReport}>;
};

/** Calls from one host to another; none throws. */
export type PeerCalls = {
	exchangeGrants: (to: HostId, message: GrantRequest) => Promise<PeerOutcome<GrantResponse>>;
	/** Pushes decisions from the owner of a group to a host that requested grants. */
	pushGrants: (to: HostId, message: GrantResponse) => Promise<PeerOutcome<{received: boolean}>>;
	exchangeQuota: (to: HostId, message: QuotaRequest) => Promise<PeerOutcome<QuotaResponse>>;
	claim: (to: HostId, message: ClaimRequest) => Promise<PeerOutcome<ClaimDecision>>;
	settleClaim: (to: HostId, message: ClaimSettlement) => Promise<PeerOutcome<SettlementOutcome>>;
	/**
	Reads the host's configuration if its version is newer than `after`.
	`version` is the version that the host applies, `age` the time since that was last confirmed to be the newest, if it ever was.
	*/
	readConfiguration: (to: HostId, message: {after: number}) => Promise<PeerOutcome<ConfigurationResponse>>;
	readAccount: (to: HostId, message: {request: RequestId}) => Promise<PeerOutcome<{account?: Account}>>;
	readPlacementFacts: (to: HostId, message: Record<string, never>) => Promise<PeerOutcome<PlacementFacts>>;
};

/** Handlers of the calls from other hosts; `from` is the authenticated calling host. */
export type PeerHandlers = {
	[Name in keyof PeerCalls]: (from: HostId, message: Parameters<PeerCalls[Name]>[1]) =>
	Promise<Extract<Awaited<ReturnType<PeerCalls[Name]>>, {kind: 'answered'}>['answer']>;
};

/** Topics of the announcements that hosts gossip. */
export const announcementTopics = ['upstream-leaving', 'upstream-failed', 'suspect-request'] as const;
/** One of `announcementTopics`. */
export type AnnouncementTopic = typeof announcementTopics[number];

/** A short statement that is gossiped to all hosts with the membership messages; for each topic, key and host only the latest one is valid. */
export type Announcement = {
	topic: AnnouncementTopic;
	/** Subject of the announcement, such as an upstream's name or a request's fingerprint. */
	key: string;
	/** Content of the announcement; empty if the statement no longer holds. */
	value: string;
	/** Host that published the announcement. */
	host: HostId;
	/** Increases with each announcement that the host publishes. */
	sequence: number;
	/** Time for which the announcement is valid after it was received. */
	duration: Milliseconds;
};
