import {Buffer} from 'node:buffer';
import {createLogger} from '@gentianlift/logger';
import type {Change, Entry} from '@gentianlift/types';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {DecodedEntry} from './decoded-entry.js';
import {createFleetView, type FleetView} from './fleet-view.js';
import {createHeldEntries, type EntryRank} from './held-entries.js';
import {getHostKey} from './host-record.js';

/** Decodes the entries of these tests: `c:VERSION:SERVICES` and `u:SERVICE`; anything else is unreadable under `e/`, and of no known kind elsewhere. */
const decode = ({key, value}: Entry): DecodedEntry => {
	const [kind, name = '', services = ''] = value.split(':');
	if (kind === 'c') {
		return {
			kind: 'configuration',
			configuration: {
				version: Number(name), routes: [], services: services.split(',').map(service => ({name: service, maxConnections: 1})), limits: {
					maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeout: 1, idleTimeout: 1,
				},
			},
		};
	}

	if (kind === 'u') {
		return {
			kind: 'upstream',
			upstream: {
				id: key, service: name, address: '127.0.0.1:1', zone: 'a', isLeaving: false, slots: 1, startedAt: 1, softwareVersion: 'v1',
			},
		};
	}

	return key.startsWith('e/') ? {kind: 'unreadable', reason: 'test'} : {kind: 'other'};
};

const createView = (): {view: FleetView; lines: string[]} => {
	const lines: string[] = [];
	const view = createFleetView({
		decode,
		classifyRecord: ({key, value}) => key.startsWith('own/') ? (value === 'sound' ? 'readable' : 'unreadable') : 'none',
		logger: createLogger('info', line => {
			lines.push(line);
		}),
	});
	return {view, lines};
};

let revision = 0;
const entry = (key: string, value: string): Entry => {
	revision += 1;
	return {key, value, revision};
};

/** Entries of another writer, more than a view holds. */
const buildMany = (prefix: string, value: string): Entry[] => Array.from({length: 30_000}, (_, index) => entry(`${prefix}${index}`, value));

/** Both ways in which a view gets entries. */
const ways = {
	changes(view: FleetView, entries: readonly Entry[]) {
		const select = view.createChangeSelector();
		const changes = entries.flatMap((written): Change[] => [select({kind: 'written', entry: written}) ?? []].flat());
		view.applyChanges(changes, revision, 0);
	},
	snapshot(view: FleetView, entries: readonly Entry[]) {
		view.applySnapshot({entries: [...entries], revision}, 0);
	},
};

const getIds = (view: FleetView, service: string): string[] => view.getUpstreams(service).map(({id}) => id);

const host = JSON.stringify({
	host: 'h', incarnation: 1, zone: 'a', callers: '127.0.0.1:1', peers: '127.0.0.1:2', notes: '127.0.0.1:3', strength: 1, isStopping: false,
});

for (const [way, give] of Object.entries(ways)) {
	// Guards against: entries of a service that isn't named leave no room for the upstreams, so that every request gets 503 (beside review/7).
	test(`upstreams of services that aren't named make room for upstreams, hosts and records, by ${way}`, () => {
		const {view} = createView();
		give(view, [entry('op', 'c:1:s'), ...buildMany('e/x', 'u:other'), entry('e/a', 'u:s'), entry(getHostKey('h'), host), entry('own/a', 'sound')]);
		expect(getIds(view, 's')).toEqual(['e/a']);
		expect(view.getHosts()).toHaveLength(1);
		expect(view.getEntry('own/a')?.value).toBe('sound');
		expect(view.countEntries()).toBeLessThanOrEqual(20_000);
		expect(getIds(view, 'other')).toHaveLength(view.countEntries() - 3);
	});

	test(`of records that can't be read or are too many, none takes the room of an upstream, by ${way}`, () => {
		const {view} = createView();
		give(view, [entry('op', 'c:1:s'), ...buildMany('own/x', 'sound'), ...buildMany('own/y', 'odd'), entry('e/a', 'u:s'), entry('own/x5', 'odd')]);
		expect(getIds(view, 's')).toEqual(['e/a']);
		expect(view.getEntry('own/x5')?.value).toBe('odd');
	});
}

// Guards against: an upstream that registered before its service was named stays left out.
test('upstreams left out are read again once a configuration names their service', () => {
	const {view} = createView();
	const many = buildMany('e/x', 'u:other');
	const upstream = entry('e/z', 'u:new');
	ways.snapshot(view, [entry('op', 'c:1:s'), ...many, upstream]);
	expect([getIds(view, 'new'), view.isIncomplete(), view.canBeCompleted()]).toEqual([[], true, false]);
	const newer = entry('op', 'c:2:s,new');
	ways.changes(view, [newer]);
	expect(view.canBeCompleted()).toBe(true);
	ways.snapshot(view, [...many, upstream, newer]);
	expect([getIds(view, 'new'), view.isIncomplete(), view.canBeCompleted()]).toEqual([['e/z'], true, false]);
});

// Guards against: an upstream that is gone stays listed at a host that reads the state, as the relay of its changes had left the upstream out.
test('a view that has left entries out passes on what becomes of them, and a whole one only what it knows', () => {
	const {view} = createView();
	const [removal, spoiled] = [{kind: 'removed', key: 'e/none', revision: 7}, {kind: 'written', entry: {key: 'e/none', value: 'odd', revision: 8}}] as const satisfies Change[];
	const getSelected = () => [removal, spoiled].map(change => view.createChangeSelector()(change)?.kind);
	expect(getSelected()).toEqual([undefined, undefined]);
	ways.changes(view, [entry('op', 'c:1:s'), ...buildMany('e/x', 'u:other')]);
	expect(getSelected()).toEqual(['removed', 'written']);
});

test('what has found no room names no upstream any more, and is reported once', () => {
	const {view, lines} = createView();
	ways.changes(view, [entry('op', 'c:1:s'), ...buildMany('e/x', 'u:other')]);
	const before = getIds(view, 'other').length;
	ways.changes(view, [entry('e/a', 'u:s'), entry('e/b', 'u:s')]);
	expect(getIds(view, 'other')).toHaveLength(before - 2);
	expect(lines.filter(line => line.includes('event=view-full'))).toHaveLength(1);
	expect(lines.filter(line => line.includes('event=upstream-removed') && line.includes('reason=no-room'))).toHaveLength(2);
});

/** Most bytes of another host's reply that is read. */
const maxReplyBytes = 8 * 1024 * 1024;

// Guards against: a host that starts beside a store that is away can't read the state of any other, as names of many bytes make it too large.
test.each(['\u6F22', '"', '\\', '\u0001', 'x'])('whatever characters entries have, other hosts can read the whole view: %j', character => {
	const {view} = createView();
	ways.changes(view, [
		// The largest configuration, all of it characters that are escaped.
		entry('op', `c:1:${'"'.repeat(1_048_576)}`),
		...Array.from({length: 9000}, (_, index) => entry(`e/x${index}`, `u:other:${character.repeat(600)}`)),
	]);
	expect(Buffer.byteLength(JSON.stringify(view.getSnapshot()))).toBeLessThan(maxReplyBytes);
});

test('whatever is put in, ranked and deleted, what is held fits, and used entries are left out only if they don\'t fit without the spare ones', () => {
	const step = fc.record({
		key: fc.integer({min: 0, max: 12}).map(String), length: fc.integer({min: 0, max: 2_000_000}), rank: fc.constantFrom<EntryRank>('used', 'spare'), action: fc.constantFrom('put', 'put', 'put', 'rank', 'delete'),
	});
	fc.assert(fc.property(fc.array(step, {maxLength: 60}), steps => {
		const held = createHeldEntries();
		const model = new Map<string, {length: number; rank: EntryRank}>();
		const sum = (isCounted: (rank: EntryRank) => boolean): number => [...model.values()].reduce((total, {length, rank}) => total + (isCounted(rank) ? length : 0), 0);
		for (const {key, length, rank, action} of steps) {
			if (action === 'delete') {
				held.delete(key);
				model.delete(key);
			} else if (action === 'rank') {
				held.setRank(key, rank);
				const known = model.get(key);
				if (known !== undefined) {
					model.set(key, {...known, rank});
				}
			} else {
				const own = model.get(key)?.length ?? 0;
				const usedOthers = sum(other => other === 'used') - (model.get(key)?.rank === 'used' ? own : 0);
				const all = sum(() => true) - own;
				const value = 'x'.repeat(length);
				const {isHeld, displaced} = held.put({key, value, revision: 1}, rank);
				const size = JSON.stringify(value).length + key.length + 200;
				expect(isHeld || (rank === 'used' ? usedOthers : all) + size > 5_000_000 - (13 * 200)).toBe(true);
				for (const other of displaced) {
					expect(model.get(other)?.rank).toBe('spare');
					model.delete(other);
				}

				if (isHeld) {
					model.set(key, {length: length + key.length, rank});
				}
			}

			expect(new Set(held.keys())).toEqual(new Set(model.keys()));
			expect(sum(() => true)).toBeLessThanOrEqual(5_000_000);
		}
	}), {seed: 1, numRuns: 200});
});
