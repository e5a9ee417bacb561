import type {IncomingMessage} from 'node:http';
import type {Address} from '@gentianlift/types';
import type {UpstreamFailureMode} from './schedule.js';

/** Entry of an upstream in the key-value service. */
export type UpstreamEntry = {service: string; address: Address; id: string; slots: number; isLeaving: boolean; startedAt: number; softwareVersion: string};

/** The parts of a fake upstream that depend on the deployment's protocol. */
export type UpstreamProtocol = {
	/** Returns the key of an upstream's entry. */
	getKey: (id: string) => string;
	encodeEntry: (entry: UpstreamEntry) => string;
	/** Returns the id of the upstream that the request is intended for. */
	getExpectedId: (request: IncomingMessage) => string | undefined;
	/** Returns the unique id of the request, which its headers carry. */
	getAttempt: (request: IncomingMessage) => string;
	isStream: (request: IncomingMessage) => boolean;
	/** Whether the stream that is requested may be resumed. */
	isResumable: (request: IncomingMessage) => boolean;
	/** Returns the number of the event after which a stream is resumed; 0 from its beginning. */
	getResumeAfter: (request: IncomingMessage) => number;
	/** Returns the ids of the parts of the request's prompt. */
	getParts: (request: IncomingMessage) => string[];
	/** Returns the headers of an answer that names a limit on requests. */
	getLimitHeaders: (perSecond: number) => Record<string, string>;
	/** Headers of all answers of an upstream that says that it leaves. */
	leavingHeaders: Record<string, string>;
	/** Headers of an answer that states that the request was not executed. */
	notExecutedHeaders: Record<string, string>;
	getAnswerHeaders: (id: string, attempt: string) => Record<string, string>;
	/** Bytes of an unsolicited HTTP answer, sent after a complete one. */
	unsolicitedAnswer: string;
};

/** Requests a second that an upstream names in failure mode `limited`. */
export const limitedRate = 2;
/** Seconds for which an upstream asks for rest in failure mode `resting`. */
export const restSeconds = 2;

/** Returns the headers by which a failure mode shows in all answers. */
export const getModeHeaders = (mode: UpstreamFailureMode | undefined, protocol: UpstreamProtocol): Record<string, string> => {
	if (mode === 'limited') {
		return protocol.getLimitHeaders(limitedRate);
	}

	if (mode === 'resting') {
		return {'retry-after': String(restSeconds)};
	}

	return mode === 'announcing' ? protocol.leavingHeaders : {};
};
