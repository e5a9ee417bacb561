import {
	createFailureCounts, createPrefillRateEstimate, type FailureCounts, type PrefillRateEstimate, type PromptCacheEstimate,
} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import {idleTimeouts, UpstreamAgent} from '../send/upstream-agent.js';
import {noDoubt, type RestartDoubt} from './restart-doubt.js';

/** What a host keeps of one incarnation of an upstream. */
export type UpstreamState = {
	agent: UpstreamAgent;
	nonIdempotentAgent: UpstreamAgent;
	cache: PromptCacheEstimate | undefined;
	/** Whether the estimate of the prompt cache has the capacity that the service configures. */
	hasCacheCapacity: boolean;
	prefillRate: PrefillRateEstimate;
	failures: FailureCounts;
	/** Exponential moving average of the durations of answers. */
	meanDuration: Milliseconds | undefined;
	/** Time on the monotonic clock before which the upstream gets no requests. */
	avoidedUntil: Milliseconds;
	/** Whether it may have started again, with another software version than its entry says. */
	doubt: RestartDoubt;
	/** Connection failures in a row. */
	connectFailures: number;
	/** Number of requests of this host in flight. */
	openRequests: number;
	/** When the upstream last sent a byte, or when the first request in flight was sent to the idle upstream. */
	lastByteAt: Milliseconds;
};

/** Creates the state of an upstream that has got no request. */
export const createUpstreamState = (now: Milliseconds): UpstreamState => ({
	agent: new UpstreamAgent(),
	nonIdempotentAgent: new UpstreamAgent({idleTimeout: idleTimeouts.short}),
	cache: undefined,
	hasCacheCapacity: false,
	prefillRate: createPrefillRateEstimate(),
	failures: createFailureCounts(now),
	meanDuration: undefined,
	avoidedUntil: 0,
	doubt: noDoubt,
	connectFailures: 0,
	openRequests: 0,
	lastByteAt: 0,
});
