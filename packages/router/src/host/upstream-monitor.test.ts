import {createManualClock, createRandom} from '@gentianlift/clock';
import {createLogger} from '@gentianlift/logger';
import {createMetrics} from '@gentianlift/metrics';
import type {GroupOwner} from '@gentianlift/scheduler';
import type {EngineLoadReport, Announcement} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {startUpstreamMonitor, type UpstreamMonitorOptions} from './upstream-monitor.js';

const leavingReport: EngineLoadReport = {
	at: 0, running: 1, waiting: 0, cacheUse: 0, tokensPerSecond: 0, models: [], adapters: [], role: 'mixed', leaving: true,
};

test('an engine that is still leaving stays excluded, and its announcement is renewed before it expires', async () => {
	const clock = createManualClock();
	const published: Array<Pick<Announcement, 'key' | 'value'>> = [];
	const options = {
		clock,
		random: createRandom(1),
		metrics: createMetrics(),
		logger: createLogger('error'),
		self: 'h0',
		membership: {
			onAnnouncement: () => () => undefined,
			publishAnnouncement(announcement: Pick<Announcement, 'key' | 'value'>) {
				published.push(announcement);
				return true;
			},
		},
		hostList: {readHosts: async () => []},
		upstreams: {checkHealth: async () => 'success' as const},
		groupOwner: {applyLoadReport: () => undefined, applyAvailability: () => undefined} as unknown as GroupOwner,
		getGroups: () => [],
		getDirectory: () => ({byId: new Map(), byAddress: new Map()}),
	};
	const upstreamMonitor = startUpstreamMonitor(options as unknown as UpstreamMonitorOptions);
	const availabilities = new Set<string>();
	for (let second = 0; second < 150; second++) {
		upstreamMonitor.applyLoadReport('e1', leavingReport);
		// eslint-disable-next-line no-await-in-loop -- Time passes between reports.
		await clock.advance(1000);
		availabilities.add(upstreamMonitor.getAvailability('e1'));
	}

	expect([...availabilities]).toEqual(['leaving']);
	expect(published.length).toBe(10);
	upstreamMonitor.applyLoadReport('e1', {...leavingReport, leaving: false});
	expect(upstreamMonitor.getAvailability('e1')).toBe('available');
	upstreamMonitor.stop();
});
