import type {Milliseconds} from '@gentianlift/types';

/** Work of all hosts for a service that hasn't ended. */
export type ServiceLoad = {
	/** Requests in flight. */
	running: number;
	/** Upstreams that have prompts to prefill. */
	prefilling: number;
	/** Uncached prompt tokens of calls that are queued at the hosts. */
	queuedTokens: number;
};

/** Work that one upstream of a service does concurrently and per millisecond. */
export type UpstreamCapacity = {
	/** Requests that it runs concurrently. */
	slots: number;
	/** Prompt tokens that it prefills per millisecond. */
	prefillRate: number;
};

/**
 * Part of the slots that requests take on average, and part of the time in which an upstream prefills, so that a wave of
 * requests finds free slots, short prompts seldom wait for long ones and concurrent streams don't slow each other beyond
 * their targets.
 */
const targetOccupancy = 0.6;

/** What the need is computed from. */
export type NeedInput = {
	load: ServiceLoad;
	strength: UpstreamCapacity;
	/** Longest time in which queued calls should get their first tokens. */
	latencyTarget: Milliseconds;
	/** Upstreams that serve. */
	serving: number;
};

/**
 * Returns the number of upstreams that the load needs, a fraction: those that bear it at the target occupancy, and those
 * that prefill in time what is queued. The latter at most double what serves, as the prefill rate is an estimate.
 */
export const getNeededUpstreams = ({load: {running, prefilling, queuedTokens}, strength: {slots, prefillRate}, latencyTarget, serving}: NeedInput): number => {
	const occupied = Math.max(running / slots, prefilling);
	const forQueue = Math.min(Math.max(1, serving), queuedTokens / (prefillRate * latencyTarget));
	return (occupied / targetOccupancy) + forQueue;
};
