import {createLoadTracker, type LoadContribution} from '@gentianlift/discovery';
import {createPromptCacheEstimate, getUpstreamKey, noRankTokens} from '@gentianlift/routing';
import {buildUpstream} from '@gentianlift/routing/testing';
import {expect, test} from 'vitest';
import {buildCandidates, getQueuedElsewhere, type ObservedUpstream} from './observed-service.js';

const upstream = buildUpstream();
const key = getUpstreamKey(upstream);
const observed: Omit<ObservedUpstream, 'queuedElsewhere'> = {
	upstream, key, cache: createPromptCacheEstimate(1000), isDoubted: false, prefillRate: 40, isReserved: false, failureRatio: 0, relativeLatency: 1,
};

const buildQueued = (queuedTokens: LoadContribution['queuedTokens']): LoadContribution => ({
	running: 0, unreadTokens: 0, latencySensitiveStreams: 0, queuedTokens,
});

test('queued tokens of other hosts are those that aren\'t of this host\'s calls, and delay no call of a higher rank', () => {
	const loads = createLoadTracker();
	loads.addOwnLoad(key, buildQueued(new Map([[1, 2000]])), 0);
	loads.setReported('h', 1, [{upstream: key, ...buildQueued(new Map([[1, 4000], [2, 8000]]))}], 0);
	const upstreams = [{...observed, queuedElsewhere: getQueuedElsewhere(key, loads)}];
	const [candidate] = buildCandidates({
		service: {
			now: 0, all: upstreams, reachable: upstreams, prefillRate: 40, preferred: new Map(),
		},
		prompt: undefined, rank: 1, hasPermit: () => true, tokensAhead: new Map([[key, new Map([[0, 400]])]]),
	}, loads);
	expect(candidate?.queuedElsewhere).toEqual(new Map([[1, 4000], [2, 8000]]));
	expect(candidate?.queueDelay).toBe((4000 + 400) / 40);
	loads.setReported('h', 1, [{upstream: key, ...buildQueued(noRankTokens)}], 0);
	expect(loads.getTotalLoad(key).queuedTokens).toEqual(new Map([[1, 2000]]));
});
