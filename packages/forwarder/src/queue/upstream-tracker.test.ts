import {createManualClock, createRandom} from '@gentianlift/clock';
import {createLoadTracker} from '@gentianlift/discovery';
import {createLogger} from '@gentianlift/logger';
import {getUpstreamKey} from '@gentianlift/routing';
import {buildUpstream} from '@gentianlift/routing/testing';
import {expect, test} from 'vitest';
import {createFragileUpstreams} from '../statements/fragile-upstreams.js';
import {createSoleLimits} from '../statements/testing-sole-limits.js';
import {createUpstreamRests} from '../statements/upstream-rests.js';
import {createUpstreamTracker} from './upstream-tracker.js';

// Guards against: memory that grows with each upstream that is removed while its last requests are in flight, and upstreams that count as avoided though they are gone.
test('what ends at an upstream after it was removed leaves no state of it', () => {
	const clock = createManualClock();
	const logLines: string[] = [];
	const logger = createLogger('info', line => {
		logLines.push(line);
	});
	const loads = createLoadTracker();
	const tracker = createUpstreamTracker({
		clock,
		logger,
		loads,
		limits: createSoleLimits(clock, logger),
		rests: createUpstreamRests({clock, random: createRandom(1), logger}),
		fragileUpstreams: createFragileUpstreams({
			clock, logger, loads, countHosts: () => 1, isAmongChosenHosts: () => true,
		}),
		getService: () => undefined,
	});
	const upstream = buildUpstream({});
	const agent = tracker.getAgent(upstream, 'idempotent', 1);
	const activity = tracker.trackRequest(upstream);
	tracker.remove(getUpstreamKey(upstream));
	tracker.recordFirstToken(upstream, 100, 10);
	activity.end();
	tracker.recordUnreachable(upstream, 'crashed');
	tracker.recordReachable(upstream);
	tracker.recordUnreachable(upstream, 'crashed');
	tracker.recordResult(upstream, true, undefined);
	expect([tracker.countAvoided(), logLines]).toEqual([0, []]);
	expect(tracker.getAgent(upstream, 'idempotent', 1)).not.toBe(agent);
});
