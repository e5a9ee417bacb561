import {createManualClock} from '@gentianlift/clock';
import {createLogger, createSilentLogger} from '@gentianlift/logger';
import type {ChangeFeed, Entry} from '@gentianlift/types';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createFleetView, type FleetView} from './fleet-view.js';
import {followFleet} from './follow-fleet.js';
import {getHostKey, parseHostRecord} from './host-record.js';
import {startLoop} from './loop.js';
import {unpackLoadReport} from './load-report.js';
import {decodePacket} from './packet.js';

const record = {
	host: 'h1', incarnation: 1, zone: 'a', callers: '127.0.0.1:1', peers: '127.0.0.1:2', notes: '127.0.0.1:3', strength: 1, isStopping: false,
};

const entry = (key: string, value = ''): Entry => ({key, value, revision: 1});

const buildUpstreamEntry = (id: string) => ({
	kind: 'upstream', upstream: {
		id, service: 's', address: '127.0.0.1:1', zone: 'a', isLeaving: false, slots: 1, startedAt: 1, softwareVersion: 'v1',
	},
} as const);

/** Creates a view whose decoder throws for the key `odd`. */
const createView = (): {view: FleetView; lines: string[]} => {
	const lines: string[] = [];
	const logger = createLogger('info', line => {
		lines.push(line);
	});
	const view = createFleetView({
		logger,
		decode({key}) {
			if (key === 'odd') {
				throw new RangeError('too deep');
			}

			return buildUpstreamEntry(key);
		},
	});
	return {view, lines};
};

// Guards against: one entry that can't be read costs the others of its page.
test('an entry whose decoding fails costs no other, and is logged once', () => {
	const {view, lines} = createView();
	for (const revision of [1, 2, 3]) {
		view.applySnapshot({entries: ['a', 'odd', 'b'].map(key => ({...entry(key), revision})), revision}, 0);
	}

	expect(view.getUpstreams('s').map(({id}) => id)).toEqual(['a', 'b']);
	expect(view.countInvalidEntries()).toBe(1);
	expect(lines.filter(line => line.includes('event=entry-unreadable'))).toHaveLength(1);
	view.applySnapshot({entries: [{...entry('a'), revision: 4}], revision: 4}, 0);
	expect(view.countInvalidEntries()).toBe(0);
});

// Guards against: a host sends datagrams and calls to an address that nothing can be sent to, and fails each time.
test('a record of a host with an invalid field is not listed', () => {
	const {view} = createView();
	for (const invalid of [{callers: '127.0.0.1:99999'}, {peers: '999.1.1.1:1'}, {notes: ''}, {strength: -1}, {strength: 1e300}, {host: ''}, {isStopping: 1}, {incarnation: '1'}]) {
		view.applyChanges([{kind: 'written', entry: entry(getHostKey('h2'), JSON.stringify({...record, ...invalid}))}], 1, 0);
	}

	expect(view.getHosts()).toEqual([]);
	expect(parseHostRecord(JSON.stringify({...record, strength: 0.5, more: [[[]]]}))).toMatchObject({host: 'h1'});
});

const report = ['h2', 1, 1, 1, 0, [['u1', 1, 2, 3, 4, [[1, 4]]]], [['u1', 'm', [['p', 5]]]], [['s', 'u1', 7]], ['s'], 1, [['a', 's', 'v']], [3], [['u1', 1, 2]], ['u2'], 7];

// Guards against: a number that no sum can hold in the report of one host spoils what others reckon of an upstream.
test('invalid loads and prompts of a report are skipped, and an invalid revision makes it unreadable', () => {
	const replace = (index: number, value: unknown): unknown[] => report.map((item, at) => at === index ? value : item);
	// As JSON gives it for a number that is too large.
	const tooLarge = Number.POSITIVE_INFINITY;
	expect(unpackLoadReport(replace(5, [['u1', tooLarge, 2, 3, 4], ['u2', 1, 2, 3, 1e300], ['u3', 1, 2, 3, 4]]))?.loads.map(({upstream}) => upstream)).toEqual(['u3']);
	expect(unpackLoadReport(replace(6, [['u1', 'm', 3], ['u2', 'm', [3, ['p', tooLarge], ['q', 5]]]]))?.prefills).toEqual([{upstream: 'u2', model: 'm', parts: [{id: 'q', tokens: 5}]}]);
	expect(unpackLoadReport(replace(3, tooLarge))).toBeUndefined();
	expect(unpackLoadReport(replace(14, tooLarge))?.configurationVersion).toBeUndefined();
	expect(unpackLoadReport(report)).toMatchObject({host: 'h2', configurationVersion: 7});
});

test('changes of a relay that can\'t all be read are not applied', () => {
	const readBatches = (changes: unknown[]): number | undefined => decodePacket(JSON.stringify(['h1', 0, [], [{after: 1, revision: 2, changes}]]))?.batches.length;
	expect(readBatches([{kind: 'written', entry: entry('a')}, {kind: 'removed', key: 'a', revision: 2}])).toBe(1);
	for (const invalid of [null, {kind: 'written'}, {kind: 'written', entry: {key: 'a', value: 3, revision: 1}}, {kind: 'removed', key: 'a'}, {kind: 'other'}]) {
		expect(readBatches([{kind: 'written', entry: entry('a')}, invalid])).toBe(0);
	}
});

test('whatever another host sends, reading it doesn\'t fail', () => {
	fc.assert(fc.property(fc.integer({min: 0, max: report.length - 1}), fc.jsonValue(), (index, value) => {
		decodePacket(JSON.stringify(['h2', 0, [report.map((item, at) => at === index ? value : item)], [value]]));
		decodePacket(JSON.stringify(value));
	}), {seed: 1, numRuns: 1000});
});

// Guards against: a host that has met one error follows the store no more, and serves by what it knew.
test('a follower whose read fails goes on', async () => {
	const clock = createManualClock();
	const view = createFleetView({decode: () => ({kind: 'other'}), logger: createSilentLogger()});
	const failures: string[] = [];
	let reads = 0;
	const feed: ChangeFeed = {
		async readAll() {
			reads += 1;
			if (reads === 1) {
				throw new TypeError('odd answer');
			}

			return {kind: 'found', snapshot: {entries: [entry('a')], revision: 5}};
		},
		async waitForChanges(revision, limit) {
			await clock.sleep(limit);
			return {kind: 'changed', changes: [], revision};
		},
	};
	const follower = followFleet({
		feed, view, clock, logger: createSilentLogger(), fetchFromPeer: async () => undefined, getNewestRevision: () => 0, hasRelayFeed: () => false, onChanges: () => undefined,
		onFailure(loop) {
			failures.push(loop);
		},
	});
	await clock.advance(600);
	expect([view.getRevision(), failures]).toEqual([5, ['follow-store']]);
	follower.stop();
});

test('a loop whose step fails is logged, and goes on until it is stopped', async () => {
	const clock = createManualClock();
	const lines: string[] = [];
	let steps = 0;
	const loop = startLoop('test', async () => {
		steps += 1;
		if (steps % 2 === 0) {
			throw new Error('even');
		}

		return 100;
	}, {
		clock, logger: createLogger('info', line => {
			lines.push(line);
		}),
	});
	await clock.advance(1250);
	expect(steps).toBe(5);
	expect(lines.filter(line => line.includes('event=loop-failed loop=test'))).toHaveLength(2);
	loop.stop();
	await clock.advance(1000);
	expect(steps).toBe(5);
});
