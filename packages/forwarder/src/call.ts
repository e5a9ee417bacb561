import {createHash} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {
	getQueueRank, mayExecuteAgain, type ConfiguredCustomer, type DepartureReason, type EarlyRefusal, type Route, type SuspectId, type Upstream, type UpstreamKey,
} from '@gentianlift/routing';
import type {HostId, Milliseconds, Rank} from '@gentianlift/types';
import type {BodyEnd} from './deliver/body-end.js';
import type {ForwardedCall} from './links/forwarded-call.js';
import type {CallerHead, UpstreamStatements} from './protocol.js';
import {unlimitedBytes, type HeldBytes} from './memory/memory-budget.js';
import type {ReceivedAnswer} from './deliver/received-answer.js';

/** An admitted request whose body was read completely. */
export type Call = {
	method: string;
	/** Request target: path with query. */
	target: string;
	head: CallerHead;
	body: Uint8Array;
	route: Route;
	service: string;
	customer: ConfiguredCustomer | undefined;
	/** Rank in queues; see `getQueueRank`. */
	rank: Rank;
	/** Whether another upstream may run the request again, or resume its stream, after one may have executed it; a request that is known not to have executed is retried anyway. */
	mayExecuteAgain: boolean;
	response: ServerResponse;
	/** Whether the connection is closed after the answer, as its host stops. */
	isClosing: () => boolean;
	/** Software version that began the stream which the request resumes; undefined if it resumes none. */
	streamVersion: string | undefined;
	/** What another host tells of the call that it has forwarded; undefined for a call of this host's own callers. */
	forwarded: ForwardedCall | undefined;
	/** Version of the configuration that the route was taken from. */
	version: number;
	arrivedAt: Milliseconds;
	/** Latest time of the final answer, from the route's timeout and the caller's; on the monotonic clock, as `arrivedAt`. */
	deadline: Milliseconds;
	/** When the caller leaves if it has received nothing: at the deadline, or after the longest silence that a caller of a stream accepts. */
	leavesAt: Milliseconds;
};

/** Factors of the choice of an upstream, as logged. */
export type Choice = {
	/** Time from the arrival of the call to the choice. */
	waited: Milliseconds;
	backlog: Milliseconds;
	running: number;
	unreadTokens: number;
	/** Uncached prompt tokens queued for the upstream at this host, as last reported to the others, and at the other hosts. */
	queuedTokens: number;
	uncachedTokens: number;
	rereadTokens: number;
	/** Why the upstream is in another availability zone; undefined if it isn't. */
	departure: DepartureReason | undefined;
};

/** The upstream at which a stream has begun, and since when its process runs at least, on the monotonic clock. */
export type BegunStream = {upstream: Upstream; runsSince: Milliseconds};

/** State of a call while it is forwarded. */
export type Progress = {
	/** Attempts that reached an upstream. */
	attempts: number;
	/** Upstreams that were tried. */
	tried: Set<UpstreamKey>;
	/** Hosts that the call was forwarded to. */
	triedHosts: Set<HostId>;
	/** Attempts that may have executed the request. */
	possibleExecutions: number;
	/** Whether the request is counted in the usage of its customer. */
	isCounted: boolean;
	/** Whether the attempt in progress was sent, so that it may execute the request. */
	isSent: boolean;
	/** Id of the last stream event delivered to the caller. */
	lastEventId: number | undefined;
	/** Whether the caller has received the first bytes of a stream in this answer. */
	hasBegun: boolean;
	/** Whether the caller has events of the stream without a number, so that no upstream can be told where it is. */
	hasUnnumberedEvents: boolean;
	/** Whether the next attempt to be sent is granted, and taken from the retry budget. */
	isRetryGranted: boolean;
	/** Software version that began the stream, once its caller has events of it; only upstreams of this version can resume it. Undefined if it isn't known for certain. */
	streamVersion: string | undefined;
	/** The upstream that this host began the stream at; undefined if it began none, or once its version is beyond doubt. */
	origin: BegunStream | undefined;
	isCallerGone: boolean;
	/** How much of the answer the caller had got when its connection closed; undefined while it is open. */
	receivedAnswer: ReceivedAnswer | undefined;
	/** Why the call was ended before its attempt was; undefined if it wasn't, or if its caller is gone. */
	endedFor: 'timeout' | 'host-stopping' | undefined;
	/** Set once the queue has refused the call. */
	refusal: EarlyRefusal | undefined;
	/** Whether the queue has given the call back, as its answer wouldn't end before this host stops. */
	isReturned: boolean;
	/** Factors of the last choice of an upstream. */
	choice: Choice | undefined;
	/** Time that the last attempt waited until one of the pool's connections was free and established, or until it ended without one. */
	connectionWait: Milliseconds | undefined;
	/** When the last upstream's first and last chunks of a stream arrived. */
	firstBytesAt: Milliseconds | undefined;
	lastBytesAt: Milliseconds | undefined;
	/** Longest time between chunks of a stream. */
	maxChunkGap: Milliseconds;
	/** How the last answer ended; undefined without one, or while it is being received. */
	bodyEnd: BodyEnd | undefined;
	/** Cancels the queueing or the attempt in progress. */
	cancel: (() => void) | undefined;
	/** Blocked suspects of crashes of which the call is a trial. */
	trials: Set<SuspectId>;
	/** What the last answer of an upstream has said of the upstream. */
	statements: UpstreamStatements | undefined;
	/** Bytes of answers that the call holds. */
	held: HeldBytes;
	/** Whether the upstream of the last attempt has crashed; undefined if that attempt didn't lose its connection. */
	hasCrashed: Promise<boolean> | undefined;
};

const fingerprintHexDigits = 20;

/** Returns a digest that is equal for all copies of a request: those with the same method, path, body and API key. Requests that are suspected of crashes are identified by it. */
export const getFingerprint = ({method, target, head, body}: Call): string =>
	createHash('sha256').update(`${method} ${target}\n${head.key ?? ''}\n`).update(body).digest('hex').slice(0, fingerprintHexDigits);

/** Fields of a call, without those derived from them. */
export type CallParts = Omit<Call, 'rank' | 'mayExecuteAgain' | 'deadline' | 'leavesAt'>;

/** Creates a call with its derived fields. */
export const createCall = (parts: CallParts): Call => {
	const {route, head, customer, arrivedAt} = parts;
	const deadline = arrivedAt + Math.min(route.timeout, head.clientTimeout ?? route.timeout);
	return {
		...parts,
		rank: getQueueRank(route, customer?.rank),
		mayExecuteAgain: mayExecuteAgain(route),
		deadline,
		leavesAt: Math.min(deadline, arrivedAt + (route.maxSilence ?? Number.POSITIVE_INFINITY)),
	};
};

/** Creates the state of a call without attempts. */
export const createProgress = (held: HeldBytes = unlimitedBytes): Progress => ({
	held,
	attempts: 0,
	tried: new Set(),
	triedHosts: new Set(),
	possibleExecutions: 0,
	isCounted: false,
	isSent: false,
	lastEventId: undefined,
	hasBegun: false,
	hasUnnumberedEvents: false,
	streamVersion: undefined,
	origin: undefined,
	isCallerGone: false,
	receivedAnswer: undefined,
	endedFor: undefined,
	refusal: undefined,
	isReturned: false,
	isRetryGranted: false,
	choice: undefined,
	connectionWait: undefined,
	firstBytesAt: undefined,
	lastBytesAt: undefined,
	maxChunkGap: 0,
	bodyEnd: undefined,
	cancel: undefined,
	trials: new Set(),
	statements: undefined,
	hasCrashed: undefined,
});

/** Whether nobody waits for an attempt of the call any more: it was ended, or its caller is gone. */
export const isAbandoned = ({endedFor, isCallerGone}: Progress): boolean => endedFor !== undefined || isCallerGone;

/** Records that an attempt is sent: it may execute the request, and the retry that was granted for it is used. */
export const markSent = (progress: Progress): void => {
	progress.isSent = true;
	progress.isRetryGranted = false;
};
