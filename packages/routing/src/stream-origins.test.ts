import {expect, test} from 'vitest';
import {buildUpstream} from './testing.js';
import {
	createStreamOrigins, createVersionHistory, getUpstreamKey, streamLifetime,
} from './index.js';

const origin = {service: 's', softwareVersion: 'v1'};

test('the origin of a stream is that of its first event', () => {
	const origins = createStreamOrigins();
	origins.add({request: 'a1', ...origin}, 0);
	origins.add({request: 'a1', service: 's', softwareVersion: 'v2'}, 1);
	expect(origins.get('a1', 2)).toEqual(origin);
	expect(origins.get('a2', 2)).toBeUndefined();
});

test('a stream is forgotten after its lifetime', () => {
	const origins = createStreamOrigins();
	origins.add({request: 'a1', ...origin}, 0);
	expect(origins.get('a1', streamLifetime)).toEqual(origin);
	expect(origins.get('a1', streamLifetime + 1)).toBeUndefined();
});

test('the memory of streams is bounded, and the oldest go first', () => {
	const origins = createStreamOrigins();
	for (let number = 0; number <= 50_000; number++) {
		origins.add({request: `a${number}`, ...origin}, 0);
	}

	expect(origins.get('a0', 0)).toBeUndefined();
	expect(origins.get('a1', 0)).toEqual(origin);
	expect(origins.get('a50000', 0)).toEqual(origin);
});

test('a version counts while it is listed, and as one that served before it was removed', () => {
	const history = createVersionHistory(1000);
	const old = buildUpstream({id: 'u1', softwareVersion: 'v1'});
	history.list(old, 0);
	history.list(buildUpstream({id: 'u2', softwareVersion: 'v2'}), 100);
	history.list(buildUpstream({id: 'u3', service: 't', softwareVersion: 'v3'}), 100);
	expect(history.getVersions('s', 4000)).toEqual(new Set(['v1', 'v2']));
	history.remove(getUpstreamKey(old), 5000);
	expect(history.getVersions('s', 5000)).toEqual(new Set(['v1', 'v2']));
	expect(history.getVersions('s', 5001)).toEqual(new Set(['v2']));
});

test('a history covers the time since the first listing', () => {
	const history = createVersionHistory(1000);
	expect(history.covers(5000)).toBe(false);
	history.list(buildUpstream(), 5000);
	expect(history.covers(4999)).toBe(false);
	expect(history.covers(5000)).toBe(true);
});
