import type {Milliseconds} from '@gentianlift/types';
import type {Call, Progress} from '../call.js';
import type {ForwarderContext} from '../context.js';
import {impliesNotExecuted, isServerError} from '../deliver/deliver-buffered.js';
import type {AnswerHead} from '../protocol.js';
import type {Attempt} from './attempt-record.js';

/** Whether the head of an answer shows that the upstream has run the request; that of a stream shows it only with the first bytes after it. */
export const hasRun = ({route}: Pick<Call, 'route'>, {status, isEventStream}: AnswerHead): boolean =>
	route.kind !== 'streaming' && !isEventStream && !impliesNotExecuted(status) && !isServerError(status);

/** Whether another run has begun the request: its caller or another host resumes a stream, or an earlier attempt has begun it. */
const isContinued = ({head, forwarded}: Call, {isCounted, hasBegun}: Progress): boolean =>
	isCounted || hasBegun || (head.lastEventId ?? 0) > 0 || forwarded?.resumption !== undefined;

/** Counts a request that began to run `age` ago in the usage of its customer, once however often it is tried; also if its caller is gone by now. */
export const countUsage = (call: Call, progress: Progress, {usage}: ForwarderContext, age: Milliseconds = 0): void => {
	if (usage === undefined || call.customer === undefined || isContinued(call, progress)) {
		return;
	}

	progress.isCounted = true;
	usage.recordStart(call.customer.name, age);
};

/** Longest round trip within a region: a connection that its upstream had closed before is reset within it. */
const maxRoundTrip: Milliseconds = 5;

/**
Counts a request whose connection was lost without an answer, if its upstream has most probably run it: it lives on, and
the loss came too late for a connection that was closed before. Otherwise nobody knows, and the request doesn't count.
*/
export const countLostAnswer = async ({call, progress, context, sentAt}: Attempt): Promise<void> => {
	const {clock, links} = context;
	const lostAt = clock.monotonic();
	const {hasCrashed} = progress;
	if (sentAt === undefined || lostAt - sentAt < maxRoundTrip || await hasCrashed !== false || links.isCut(call.service)) {
		return;
	}

	countUsage(call, progress, context, clock.monotonic() - lostAt);
};
