import type {ErrorKind} from '@gentianlift/errors';
import type {BodyEnd} from './deliver/body-end.js';
import type {Call, Progress} from './call.js';
import type {ForwarderContext} from './context.js';
import type {ForwardOutcome} from './deliver/forward-outcome.js';
import type {RateStatement, RestStatement} from './protocol.js';
import {getReceivedAnswer} from './deliver/received-answer.js';

/**
 * How a call ended, as logged. Outcomes:
 * - `delivered`: an upstream's answer was delivered, whose status is the reason
 * - `upstream-failure`: the last upstream's own error answer was delivered
 * - `own-answer`: the router answered with the error that is the reason
 * - `cut`: the connection was closed for the error that is the reason, as the answer had begun
 * - `timeout`: the deadline passed
 * - `host-stopping`: this host stopped before the call had ended
 * - `caller-gone`: the caller disconnected
 */
export type CallEnd = {
	outcome: string;
	reason?: string;
	/** How the last attempt failed, if the call ended for that. */
	lastFailure?: string;
};

/** Returns how an attempt failed; undefined if it didn't. */
export const getFailureReason = (outcome: ForwardOutcome | undefined): string | undefined =>
	outcome === undefined || outcome.kind === 'delivered' ? undefined : outcome.reason;

/** Returns the number of bytes after the last complete event; undefined for an answer that isn't a stream. */
const getPartialBytes = (end: BodyEnd | undefined): number | undefined => end?.content.kind === 'events' ? end.content.partialBytes : undefined;

/** Returns the error for a call that has not run and gets no further attempt. */
export const getRefusalKind = ({streamVersion}: Call, lastOutcome: ForwardOutcome | undefined): ErrorKind => {
	if (lastOutcome !== undefined) {
		return 'upstream-refused';
	}

	return streamVersion === undefined ? 'no-upstream' : 'stream-version-gone';
};

/** Returns what an answer has said of its upstream's limit, for a log line; undefined for nothing. */
const describeLimit = (statement: RateStatement | undefined): string | undefined => {
	switch (statement?.kind) {
		case 'rate': {
			return String(statement.perSecond);
		}

		case 'malformed': {
			return `malformed:${statement.text}`;
		}

		case 'none':
		case undefined: {
			return undefined;
		}
	}
};

/** Returns for how long the last answer has asked for rest, in milliseconds, for a log line; undefined if it hasn't. */
const describeRest = (statement: RestStatement | undefined): string | undefined => {
	switch (statement?.kind) {
		case 'rest': {
			return String(statement.duration);
		}

		case 'malformed': {
			return `malformed:${statement.text}`;
		}

		case 'none':
		case undefined: {
			return undefined;
		}
	}
};

/** Logs a call that is open as the process ends: what is known of it, and whether an upstream may run it. */
export const reportOpen = (call: Call, progress: Progress, {clock, logger, metrics}: ForwarderContext): void => {
	metrics.count('calls_open_at_end_total', {route: call.route.name, sent: String(progress.isSent)});
	logger.warn('call-open', {
		request: call.head.callerRequestId,
		route: call.route.name,
		kind: call.route.kind,
		upstream: [...progress.tried].at(-1),
		over: [...progress.triedHosts].at(-1),
		executions: progress.possibleExecutions,
		sent: progress.isSent,
		answer: getReceivedAnswer(call.response),
		age: Math.round(clock.monotonic() - call.arrivedAt),
	});
};

/** Logs the end of a call and counts it in the metrics. */
export const reportEnd = (call: Call, progress: Progress, end: CallEnd, {clock, logger, metrics}: ForwarderContext): void => {
	const duration = clock.monotonic() - call.arrivedAt;
	metrics.count('calls_total', {route: call.route.name, outcome: end.outcome});
	metrics.record('call_duration', duration, {route: call.route.name});
	if (progress.bodyEnd !== undefined) {
		const {framing, ending} = progress.bodyEnd;
		metrics.count('answers_total', {
			route: call.route.name, framing, ending, outcome: end.outcome,
		});
	}

	logger.info('call-ended', {
		request: call.head.callerRequestId,
		route: call.route.name,
		service: call.service,
		customer: call.customer?.name,
		version: call.version,
		upstream: [...progress.tried].at(-1),
		over: [...progress.triedHosts].at(-1),
		from: call.forwarded?.from,
		...progress.choice,
		connectionWait: progress.connectionWait === undefined ? undefined : Math.round(progress.connectionWait),
		first: progress.firstBytesAt === undefined ? undefined : Math.round(progress.firstBytesAt - call.arrivedAt),
		pause: progress.lastBytesAt === undefined ? undefined : Math.round(progress.maxChunkGap),
		resumes: call.head.resumedRequestId,
		after: call.head.lastEventId,
		software: progress.streamVersion,
		framing: progress.bodyEnd?.framing,
		ending: progress.bodyEnd?.ending,
		partialBytes: getPartialBytes(progress.bodyEnd),
		limit: describeLimit(progress.statements?.limit),
		rest: describeRest(progress.statements?.rest),
		leaving: progress.statements?.isLeaving === true ? true : undefined,
		sends: progress.attempts,
		outcome: end.outcome,
		reason: end.reason,
		answer: progress.receivedAnswer ?? getReceivedAnswer(call.response),
		lastFailure: end.lastFailure,
		duration: Math.round(duration),
	});
};
