import {createManualClock} from '@gentianlift/clock';
import {chooseHosts, type HostRecord} from '@gentianlift/discovery';
import {createSilentLogger} from '@gentianlift/logger';
import {getUpstreamKey} from '@gentianlift/routing';
import {buildUpstream} from '@gentianlift/routing/testing';
import {expect, test} from 'vitest';
import {createFragileUpstreams, type FragileUpstreams} from './fragile-upstreams.js';

const upstream = buildUpstream({slots: 6});
const key = getUpstreamKey(upstream);

const buildRecord = (index: number): HostRecord => ({
	host: `h${index}`, incarnation: 1, zone: 'a', callers: '', peers: '', notes: '', strength: 1, isStopping: false,
});

/** Creates a host of a fleet, at which some requests run. */
const create = (hosts = 3, index = 0) => {
	const clock = createManualClock(1000);
	const running = {count: 0};
	const records = Array.from({length: hosts}, (_, number) => buildRecord(number));
	const fragile = createFragileUpstreams({
		clock,
		logger: createSilentLogger(),
		loads: {getOwnRunning: () => running.count},
		countHosts: () => hosts,
		isAmongChosenHosts: (name, count) => chooseHosts(name, records, count).includes(`h${index}`),
	});
	return {clock, running, fragile};
};

/** Returns the requests that a host may run at the upstream at a time. */
const countRoom = (fragile: FragileUpstreams, running: {count: number}): number => {
	while (fragile.hasRoom(key)) {
		running.count += 1;
	}

	return running.count;
};

test('a host keeps to its share of what a fragile upstream runs, and to nothing at others', () => {
	const {running, fragile} = create();
	running.count = 100;
	expect(fragile.hasRoom(key)).toBe(true);
	fragile.observe(upstream, {kind: 'rate', perSecond: 3});
	running.count = 0;
	expect(countRoom(fragile, running)).toBe(2);
});

// Guards against: each host of a large fleet sends one request, many more than the engine takes.
test('a fleet of any size keeps to what the upstream runs', () => {
	for (const hosts of [1, 4, 7, 75]) {
		const shares = Array.from({length: hosts}, (_, index) => {
			const {running, fragile} = create(hosts, index);
			fragile.observe(upstream, {kind: 'rate', perSecond: 3});
			return countRoom(fragile, running);
		});
		const total = shares.reduce((sum, share) => sum + share, 0);
		expect(total, String(hosts)).toBeLessThanOrEqual(upstream.slots);
		expect(total, String(hosts)).toBeGreaterThan(upstream.slots / 2);
	}
});

// Guards against: one answer without the header, or with another value, lets hosts overrun the engine at once; or they hold back for ever.
test('an upstream counts as fragile until it has not said so for some seconds', async () => {
	const {clock, running, fragile} = create();
	fragile.observe(upstream, {kind: 'rate', perSecond: 3});
	fragile.observe(upstream, {kind: 'none'});
	fragile.observe(upstream, {kind: 'malformed', text: 'few'});
	running.count = 2;
	expect(fragile.hasRoom(key)).toBe(false);
	await clock.advance(5000);
	expect(fragile.hasRoom(key)).toBe(true);
});
