import type {ReachQuery} from '@gentianlift/discovery';
import {getUpstreamKey} from '@gentianlift/routing';
import {buildUpstream} from '@gentianlift/routing/testing';
import type {HostId} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {
	buildHost, check, connectTimeout, createDay, cut, hangAll, ids, reachAll,
} from './testing-link-day.js';

// Guards against: an engine that is silent or away for a moment moves all traffic to other hosts.
test('links are open while one of the upstreams accepts a connection', async () => {
	for (const id of ids) {
		const day = createDay();
		day.hosts.push(buildHost('h1'));
		day.reached.add(id);
		// eslint-disable-next-line no-await-in-loop -- One day at a time.
		await check(day, 2000);
		expect(day.links.choosePath('s', new Set())).toEqual({kind: 'direct'});
	}
});

// Guards against: hosts send their calls in circles when all upstreams are away.
test('upstreams that no host reaches are away, and the links to them are not cut', async () => {
	const day = createDay();
	await check(day, 2000);
	expect(day.links.isCut('s')).toBe(false);
	expect(day.logLines.some(line => line.includes('event=upstreams-away'))).toBe(true);
});

test('links are cut when connections to all upstreams hang, and another host reaches one', async () => {
	const day = createDay();
	hangAll(day);
	day.hosts.push(buildHost('h1'));
	await check(day, connectTimeout);
	expect(day.links.isCut('s')).toBe(false);
	await day.clock.advance(connectTimeout);
	expect(day.links.choosePath('s', new Set())).toMatchObject({kind: 'over-host', host: {host: 'h1'}});
});

// Guards against: calls take the way over other hosts for a second and more, as upstreams that were away for a moment came back while their links were checked.
test('links are not cut when an upstream has answered during the check and accepts connections again', async () => {
	const day = createDay();
	hangAll(day);
	day.hosts.push(buildHost('h1'));
	await check(day, connectTimeout);
	day.hanging.clear();
	reachAll(day);
	day.links.recordContact('s');
	await day.clock.advance(2 * connectTimeout);
	expect(day.links.isCut('s')).toBe(false);
});

// Guards against: links whose open connections live on count as open though no new one is established.
test('links are cut when upstreams answer on open connections but accept no new ones', async () => {
	const day = createDay();
	hangAll(day);
	day.hosts.push(buildHost('h1'));
	await check(day, connectTimeout);
	day.links.recordContact('s');
	await day.clock.advance(2 * connectTimeout);
	expect(day.links.isCut('s')).toBe(true);
});

// Guards against: traffic goes to and fro while a link comes back.
test('links are open again once connections have succeeded for a time', async () => {
	const day = createDay();
	await cut(day);
	reachAll(day);

	await day.clock.advance(800);
	day.reached.clear();
	await day.clock.advance(800);
	expect(day.links.isCut('s')).toBe(true);
	reachAll(day);

	await day.clock.advance(800);
	expect(day.links.isCut('s')).toBe(true);
	await day.clock.advance(800);
	expect(day.links.isCut('s')).toBe(false);
});

test('a call goes over each host once, not over silent ones, and then nowhere', async () => {
	const day = createDay();
	await cut(day);
	day.silentHosts.add('h2');
	expect(day.links.choosePath('s', new Set())).toMatchObject({kind: 'over-host', host: {host: 'h1'}});
	expect(day.links.choosePath('s', new Set(['h1']))).toEqual({kind: 'none'});
});

// Guards against: calls are refused for up to a second once the hosts that were known to reach the upstreams have failed.
test('hosts that have come since the last question are found when asked for, and questions are spaced', async () => {
	const day = createDay();
	await cut(day);
	day.hosts.push(buildHost('h3'));
	const choose = async () => {
		await day.links.renewHosts('s');
		return day.links.choosePath('s', new Set(['h1', 'h2']));
	};

	expect(await choose()).toEqual({kind: 'none'});
	await day.clock.advance(300);
	expect(await choose()).toMatchObject({kind: 'over-host', host: {host: 'h3'}});
	expect(day.logLines.at(-1)).toMatch(/event=reaching-hosts .*hosts=h1,h2,h3/v);
});

// Guards against: hosts that reach the upstreams are forgotten because others are too slow to answer.
test('the known hosts are kept when too few hosts answer', async () => {
	const day = createDay();
	await cut(day);
	day.hosts.length = 0;
	day.answers.areMost = false;
	await day.clock.advance(2000);
	expect(day.links.choosePath('s', new Set())).toMatchObject({kind: 'over-host'});
});

// Guards against: calls are refused for lack of hosts when the upstreams go away during a cut.
test('calls go to the upstreams again when no host reaches them any more', async () => {
	const day = createDay();
	await cut(day);
	day.hosts.length = 0;
	await day.clock.advance(2000);
	expect(day.links.choosePath('s', new Set())).toEqual({kind: 'direct'});
});

// Guards against: all hosts whose links are cut choose the same one.
test('the less loaded of two hosts gets the call, and calls that it already got count', async () => {
	const day = createDay();
	day.hosts.push(buildHost('h1', 2), buildHost('h2'));
	await check(day, 10);
	const chosen: HostId[] = [];
	for (let calls = 0; calls < 6; calls++) {
		const path = day.links.choosePath('s', new Set());
		if (path.kind === 'over-host') {
			chosen.push(path.host.host);
			day.links.beginForwarding(path.host.host);
		}
	}

	expect(chosen.slice(0, 2)).toEqual(['h2', 'h2']);
	expect(chosen.filter(host => host === 'h1').length).toBe(2);
});

// Guards against: a host offers a way that it doesn't have, or makes connections for each question.
test('a host says that it reaches a service if it has heard from it lately or can connect, and not while its links are cut', async () => {
	const day = createDay();
	expect(await day.links.reaches({service: 's'})).toBe(false);
	day.reached.add('u0');
	await day.clock.advance(100);
	expect(await day.links.reaches({service: 's', upstream: getUpstreamKey(buildUpstream({id: 'u0'}))})).toBe(true);
	expect(await day.links.reaches({service: 's', upstream: getUpstreamKey(buildUpstream({id: 'u1'}))})).toBe(false);
	day.reached.clear();
	day.probes.length = 0;
	day.links.recordContact('s');
	expect(await day.links.reaches({service: 's'})).toBe(true);
	expect(day.probes).toEqual([]);
	await cut(day);
	expect(await day.links.reaches({service: 's'})).toBe(false);
});

// Guards against: many hosts that ask at once make a host open many connections, as could anyone who reaches its address for hosts.
test('hosts that ask the same at once cost the probes of one question', async () => {
	const day = createDay();
	day.reached.add('u0');
	const upstream = getUpstreamKey(buildUpstream({id: 'u0'}));
	const askManyTimes = async (query: ReachQuery) => Promise.all(Array.from({length: 50}, async () => day.links.reaches(query)));
	expect(new Set(await askManyTimes({service: 's', upstream}))).toEqual(new Set([true]));
	expect(day.probes).toEqual(['u0']);
	await askManyTimes({service: 's'});
	expect(day.probes.length).toBe(4);
	await askManyTimes({service: 's', upstream: 'unknown@1'});
	expect(day.probes.length).toBe(4);
	day.reached.clear();
	await day.clock.advance(100);
	expect(await day.links.reaches({service: 's', upstream})).toBe(false);
	expect(day.probes.length).toBe(5);
});

// Guards against: requests are blamed for a crash because the hosts that reach the upstream gave no answer in time.
test('an upstream is away for others only if most of them answer and none reaches it', async () => {
	const day = createDay();
	const upstream = buildUpstream({id: 'u0'});
	expect(await day.links.isAwayForOthers(upstream)).toBe(true);
	day.answers.areMost = false;
	expect(await day.links.isAwayForOthers(upstream)).toBe(false);
	day.answers.areMost = true;
	day.hosts.push(buildHost('h1'));
	expect(await day.links.isAwayForOthers(upstream)).toBe(false);
});

// Guards against: each call that fails makes connections to all upstreams.
test('links are checked once in a while only', async () => {
	const day = createDay();
	day.reached.add('u0');
	for (let signs = 0; signs < 100; signs++) {
		// eslint-disable-next-line no-await-in-loop -- Signs come one after the other.
		await check(day, 10);
	}

	expect(day.probes.length).toBeLessThanOrEqual(2 * ids.length);
});

// Guards against: links count as cut for good, or are never checked again, after one error.
test('an error ends neither the watch of links that are cut nor later checks', async () => {
	const day = createDay();
	day.errors.areThrown = true;
	await check(day, 1000);
	expect(day.links.isCut('s')).toBe(false);
	day.errors.areThrown = false;
	await cut(day);
	day.errors.areThrown = true;
	await day.clock.advance(3000);
	day.errors.areThrown = false;
	reachAll(day);

	await day.clock.advance(3000);
	expect(day.links.isCut('s')).toBe(false);
	expect(day.logLines.some(line => line.includes('event=loop-failed loop=check-links'))).toBe(true);
	expect(day.logLines.some(line => line.includes('event=loop-failed loop=watch-cut'))).toBe(true);
});
