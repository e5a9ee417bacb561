import type {
	ClaimDecision, ClaimKey, ClaimOutcome,
} from './claim.js';
import type {LoadReport} from './engine.js';
import type {GrantAnswer, GrantRequest} from './grant.js';
import type {
	ClassName, HostId, Incarnation, Milliseconds, ModelName, Rank, RequestId, UpstreamId,
} from './ids.js';
import type {ConfigurationVersion} from './inventory.js';
import type {Account} from './request.js';

/** Outcome of a call to another host; `unknown` may have been carried out. */
export type PeerOutcome<Answer>
	= | {kind: 'answered'; answer: Answer}
		| {kind: 'unreachable'; reason: string}
		| {kind: 'unknown'; reason: string};

/** Asks the owner of a claim's slot to store the claim. */
export type ClaimRequest = {
	key: ClaimKey;
	digest: string;
	className?: ClassName;
	request: RequestId;
	host: HostId;
	incarnation: Incarnation;
};

/** Tells the owner of a claim's slot how the claimed request ended. */
export type ClaimSettlement = {
	key: ClaimKey;
	request: RequestId;
	/** Upstream that ran it, or may have. */
	upstream?: UpstreamId;
	outcome: ClaimOutcome;
};

/** Outcome of a settlement at the owner. */
export type SettlementOutcome = {
	stored: boolean;
	/** True when the service could not be written, so that the settlement has to be sent again. */
	retry?: boolean;
};

/** A host's use of a shared limit since its last message, and what it expects to use next. */
export type QuotaRequest = {
	host: HostId;
	/** Name of the limit, such as `requests:<customer>` or `retries:<class>`. */
	limits: Array<{limit: string; used: number; wanted: number}>;
};

/** Shares of shared limits that a host may use until they end. */
export type QuotaAnswer = {
	owner: boolean;
	shares: Array<{limit: string; allowed: number; duration: Milliseconds}>;
};

/** What a host tells another of its configuration; `packed` is the newest version as compressed JSON in base64, in place of `newest`. */
export type ConfigurationAnswer = {newest?: ConfigurationVersion; packed?: string; version?: number; age?: Milliseconds};

/** What one class asks of one model or adapter now. */
export type Demand = {
	className: ClassName;
	/** Model or adapter. */
	needs: ModelName;
	rank: Rank;
	running: number;
	waiting: number;
	/** Time that one request keeps a slot. */
	serviceTime: Milliseconds;
	/** Time within which a waiting request has to start. */
	target: Milliseconds;
};

/** What a host knows that decides which models engines should hold. */
export type PlacementFacts = {
	/** Demand of the host's own callers. */
	demands: Demand[];
	/** Newest reports of the engines whose work the host orders. */
	reports: Array<{upstream: UpstreamId; report: LoadReport}>;
};

/** Calls from one host to another; none throws. */
export type PeerCalls = {
	exchangeGrants: (to: HostId, message: GrantRequest) => Promise<PeerOutcome<GrantAnswer>>;
	/** Pushes decisions from the owner of a group to a host that asked. */
	pushGrants: (to: HostId, message: GrantAnswer) => Promise<PeerOutcome<{received: boolean}>>;
	exchangeQuota: (to: HostId, message: QuotaRequest) => Promise<PeerOutcome<QuotaAnswer>>;
	claim: (to: HostId, message: ClaimRequest) => Promise<PeerOutcome<ClaimDecision>>;
	settleClaim: (to: HostId, message: ClaimSettlement) => Promise<PeerOutcome<SettlementOutcome>>;
	/**
	The newest configuration of the host, if newer than `after`.
	`version` is the number in force there, `age` the time since it was known to be the newest, if ever.
	*/
	readConfiguration: (to: HostId, message: {after: number}) => Promise<PeerOutcome<ConfigurationAnswer>>;
	readAccount: (to: HostId, message: {request: RequestId}) => Promise<PeerOutcome<{account?: Account}>>;
	readPlacementFacts: (to: HostId, message: Record<string, never>) => Promise<PeerOutcome<PlacementFacts>>;
};

/** The functions that answer the calls of other hosts; `from` is the authenticated caller. */
export type PeerHandlers = {
	[Name in keyof PeerCalls]: (from: HostId, message: Parameters<PeerCalls[Name]>[1]) =>
	Promise<Extract<Awaited<ReturnType<PeerCalls[Name]>>, {kind: 'answered'}>['answer']>;
};

/** What a note between all hosts is about. */
export const noteTopics = ['upstream-leaving', 'upstream-failed', 'suspect-request'] as const;
/** One of `noteTopics`. */
export type NoteTopic = typeof noteTopics[number];

/** A short fact that reaches all hosts with the membership messages; the newest of a topic, key and host stands. */
export type Note = {
	topic: NoteTopic;
	/** What the note is about, such as an upstream's name or a request's fingerprint. */
	key: string;
	/** Empty once the fact no longer holds. */
	value: string;
	/** Host that says so. */
	host: HostId;
	/** Rises with each note of the host. */
	sequence: number;
	/** How long the note stands after it arrives. */
	duration: Milliseconds;
};
