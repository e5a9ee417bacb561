import type {Prompt, Upstream} from '@gentianlift/routing';
import type {CustomerId, Milliseconds} from '@gentianlift/types';

/** Headers as on the wire: alternating names and values, as in Node's `rawHeaders`. */
export type RawHeaders = readonly string[];

/** Parsed headers of a caller's request. */
export type CallerHead = {
	/** Id that the caller gave to this request. */
	callerRequestId: string | undefined;
	hostname: string;
	/** Key that authenticates the caller. */
	key: string | undefined;
	/** Client timeout: how long the caller waits for the final answer. */
	clientTimeout: Milliseconds | undefined;
	prompt: Prompt | undefined;
	/** Distinct ids of the parts of the prompt but the last one, which is specific to the request or its session; also without a `prompt`, which needs more than them. */
	sharedParts: readonly string[];
	/** Id of the last event that the caller has received, if it resumes a stream. */
	lastEventId: number | undefined;
	/** Id of the caller's request that brought the first event of the stream, if it resumes one. */
	resumedRequestId: string | undefined;
	/** Whether the request declares a body, which may be empty. */
	declaresBody: boolean;
	/** Headers that are forwarded to the upstream unchanged. */
	forwarded: RawHeaders;
	/** Headers that another host of the router gets, if the request is forwarded to it: all but those that concern the connection or the length of the body. */
	forwardedToHosts: RawHeaders;
};

/** Input for the headers of a request to an upstream. */
export type UpstreamHeadInput = {
	caller: CallerHead;
	upstream: Upstream;
	customer: CustomerId | undefined;
	/** Remaining time until the deadline of the call. */
	remainingTime: Milliseconds;
	/** Rank among the calls that upstreams of the service get, as `UpstreamRanks` returns it. */
	rank: number;
	/** Id of the last event that the caller has received, if the upstream is to resume a stream. */
	resumeAfter: number | undefined;
	bodyLength: number;
};

/** A number a second that an answer names of its upstream; `malformed` is a mistake of the upstream, which says nothing. */
export type RateStatement = {kind: 'none'} | {kind: 'malformed'; text: string} | {kind: 'rate'; perSecond: number};

/** For how long an upstream that has turned a request away wants none from this host; `malformed` is a mistake of the upstream, which says nothing. */
export type RestStatement = {kind: 'none'} | {kind: 'malformed'; text: string} | {kind: 'rest'; duration: Milliseconds};

/** What an answer says of its upstream, besides what it answers. */
export type UpstreamStatements = {
	/** Requests a second that the upstream takes from all hosts together. */
	limit: RateStatement;
	rest: RestStatement;
	/** Rejections a second above which the upstream falls over. */
	rejections: RateStatement;
	/** Whether the upstream says that it is about to stop. */
	isLeaving: boolean;
};

/** Parsed head of an upstream's answer. */
export type AnswerHead = {
	status: number;
	/** Caller's id of the request that the upstream answers, if it names one. */
	callerRequestId: string | undefined;
	statements: UpstreamStatements;
	/** Whether the upstream states that it has not executed the request and never will. */
	isNotExecuted: boolean;
	/** Whether the answer has the header that marks answers of upstreams; a success without it comes from something else, e.g. from another process that now has the address. */
	hasUpstreamMark: boolean;
	isEventStream: boolean;
	/** Headers that are forwarded to the caller unchanged. */
	forwarded: RawHeaders;
};

/** Translation of headers on the wire between callers, this router and upstreams; makes no routing decisions. */
export type Protocol = {
	readCallerHead: (headers: RawHeaders) => CallerHead;
	/** Returns the headers of a request to an upstream. */
	buildUpstreamHeaders: (input: UpstreamHeadInput) => string[];
	/** Returns the headers of a request that is forwarded to another host. */
	buildHostHeaders: (caller: CallerHead, bodyLength: number) => string[];
	readAnswerHead: (status: number, headers: RawHeaders) => AnswerHead;
	/** Returns additional headers of an error answer that the router generates. */
	buildErrorHeaders: (caller: CallerHead | undefined) => string[];
};
