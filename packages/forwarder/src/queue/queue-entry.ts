import type {UpstreamKey} from '@gentianlift/routing';
import type {Milliseconds, Rank} from '@gentianlift/types';
import type {Call, Progress} from '../call.js';
import type {Assignment} from './assignment.js';

/** What a queued call waits for, since it was last decided on. */
export type Wait
	= | {kind: 'upstream'; key: UpstreamKey; uncachedTokens: number; decidedAt: Milliseconds}
		| {kind: 'permit'; decidedAt: Milliseconds};

/** A queued call. */
export type QueueEntry = {
	call: Call;
	progress: Progress;
	enqueuedAt: Milliseconds;
	rank: Rank;
	/** When the target for its first token is missed. */
	dueAt: Milliseconds;
	/** Equal for calls that mostly choose the same upstream: those of one service and rank whose prompts have the same shared part. */
	group: string;
	/** Undefined until the call has been decided on. */
	wait: Wait | undefined;
	resolve: (assignment: Assignment | undefined) => void;
};

/** Creates the entry of a call that comes to the queue. */
export const createQueueEntry = (call: Call, progress: Progress, now: Milliseconds, resolve: QueueEntry['resolve']): QueueEntry => ({
	call,
	progress,
	enqueuedAt: now,
	rank: call.rank,
	dueAt: call.arrivedAt + call.route.latencyTarget,
	group: `${call.service}/${call.rank}/${call.head.prompt?.parts.at(-2)?.id ?? ''}`,
	wait: undefined,
	resolve,
});
