import type {RouteTable, Service} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import type {ForwarderContext} from '../context.js';
import type {BacklogLimits} from './backlog-limits.js';
import {getRoom, type DispatchPass} from './dispatch-pass.js';
import {dispatchInterval} from './dispatch-schedule.js';
import type {DispatchTurns} from './dispatch-turns.js';
import type {EarlyRefusals} from './early-refusals.js';
import type {QueueEntry, Wait} from './queue-entry.js';

/**
 * Decides which queued calls a dispatch pass decides on anew, so that its work doesn't grow with the queue. A call goes on
 * waiting as before while no upstream has room for its rank, as it could be sent nowhere.
 */
export type Reviews = {
	/** Returns whether a call is to be decided on in a pass. */
	isDue: (entry: QueueEntry, pass: DispatchPass) => boolean;
};

/** What reviews depend on. */
export type ReviewsOptions = {
	context: Pick<ForwarderContext, 'view' | 'tracker' | 'links' | 'getServingEnd'>;
	refusals: Pick<EarlyRefusals, 'recheck'>;
	backlogLimits: BacklogLimits;
	turns: Pick<DispatchTurns, 'isDrawn'>;
};

/** Time after which a call is decided on again in any case, for each queued call, as what it waits for may have changed; at least `dispatchInterval`. */
const lifetimePerCall: Milliseconds = 0.5;
/** Calls of one rank that a pass decides on without sending them, while upstreams have room that these calls don't choose. */
const maxLeftCalls = 8;

/** A call's wait for an upstream. */
type UpstreamWait = Extract<Wait, {kind: 'upstream'}>;

/** Backlogs of the upstream that a call waits for and of the least loaded one, and the maximum at which an upstream may receive the call. */
type Backlogs = {chosen: Milliseconds; shortest: Milliseconds; limit: Milliseconds};

/** Whether a call is too old for its last decision. */
const isExpired = ({decidedAt}: Wait, {now, queueLength}: DispatchPass): boolean =>
	now - decidedAt >= Math.max(dispatchInterval, queueLength * lifetimePerCall);

/** Creates the rule for a host's queue. */
export const createReviews = ({context, refusals, backlogLimits, turns}: ReviewsOptions): Reviews => {
	/** Whether an upstream has room that the call may choose. */
	const mayFindRoom = ({rank, group}: QueueEntry, wait: UpstreamWait, pass: DispatchPass, {chosen, shortest, limit}: Backlogs): boolean => {
		const {byRank, groups} = pass.leftCalls;
		if (shortest > limit || (byRank.get(rank) ?? 0) >= maxLeftCalls) {
			return false;
		}

		return chosen <= limit ? !turns.isDrawn(wait.key, pass.now) : !groups.has(group);
	};

	const isUpstreamWaitDue = (entry: QueueEntry, wait: UpstreamWait, pass: DispatchPass, {table, service}: {table: RouteTable; service: Service}): boolean => {
		const {call} = entry;
		const room = getRoom(service, pass, context);
		const limit = backlogLimits.get(table, call);
		if (mayFindRoom(entry, wait, pass, {chosen: room.getBacklogOf(wait.key), shortest: room.shortestBacklog, limit})) {
			return true;
		}

		return refusals.recheck({
			call, uncachedTokens: wait.uncachedTokens, room, backlogLimit: limit, tokensAheadByRank: pass.queuedTokens.byRank, now: pass.now,
		});
	};

	return {
		isDue(entry, pass) {
			const {call, progress, wait} = entry;
			const table = context.view.getRoutes();
			const service = table?.services.get(call.service);
			// What a call waits for doesn't tell which upstreams may take one that was tried, or that resumes a stream.
			const isSpecial = progress.tried.size > 0 || progress.streamVersion !== undefined;
			if (wait === undefined || table === undefined || service === undefined || isSpecial || context.getServingEnd() !== Number.POSITIVE_INFINITY || isExpired(wait, pass)) {
				return true;
			}

			switch (wait.kind) {
				case 'permit': {
					// Those behind one that has got no permit get none.
					return !pass.permitWaiters.has(call.service);
				}

				case 'upstream': {
					return isUpstreamWaitDue(entry, wait, pass, {table, service});
				}
			}
		},
	};
};
