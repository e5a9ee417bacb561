import type {Prompt, Upstream} from '@gentianlift/routing';
import type {CustomerId, Milliseconds, Rank} from '@gentianlift/types';

/** Headers as on the wire: names and values in turn, as Node's `rawHeaders`. */
export type RawHeaders = readonly string[];

/** What the headers of a caller's request say. */
export type CallerHead = {
	/** The caller's id of this attempt. */
	attempt: string | undefined;
	hostname: string;
	key: string | undefined;
	/** How long the caller waits from now. */
	patience: Milliseconds | undefined;
	prompt: Prompt | undefined;
	/** Last event that the caller has of a stream that it resumes. */
	lastEvent: number | undefined;
	/** Whether the request says that it has a body, be it empty. */
	declaresBody: boolean;
	/** Headers that go on to the upstream as they are. */
	forwarded: RawHeaders;
};

/** What the router itself tells an upstream with a request. */
export type UpstreamHead = {
	caller: CallerHead;
	upstream: Upstream;
	customer: CustomerId | undefined;
	timeLeft: Milliseconds;
	rank: Rank;
	/** Last event that the caller has, if the stream goes on at this upstream. */
	resumeAfter: number | undefined;
	bodyLength: number;
};

/** What the head of an upstream's answer says. */
export type AnswerHead = {
	status: number;
	/** The attempt that the answer belongs to, as the upstream says. */
	attempt: string | undefined;
	/** Whether the upstream says that it has not run the request and never will. */
	isNotRun: boolean;
	/** Whether the answer bears the upstream's mark; a success without it isn't the upstream's. */
	isSigned: boolean;
	isEventStream: boolean;
	/** Headers that go on to the caller as they are. */
	forwarded: RawHeaders;
};

/** Words of the wire between callers, this router and upstreams. Decides nothing. */
export type Protocol = {
	readCallerHead: (headers: RawHeaders) => CallerHead;
	writeUpstreamHead: (head: UpstreamHead) => string[];
	readAnswerHead: (status: number, headers: RawHeaders) => AnswerHead;
	/** Headers of an answer of the router itself. */
	writeOwnHead: (caller: CallerHead | undefined) => string[];
};
