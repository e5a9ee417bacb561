import {createLogger} from '@gentianlift/logger';
import {addEra} from '@gentianlift/platform';
import {buildRouteTable} from '@gentianlift/routing';
import type {Entry} from '@gentianlift/types';
import {expect, test} from 'vitest';
import type {DecodedEntry} from './decoded-entry.js';
import {createFleetView} from './fleet-view.js';
import {getHostKey} from './host-record.js';

/** Decodes the entries of these tests: `c:VERSION`, `u:STARTED:ready|leaving:SOFTWARE`, `v1` if absent; anything else is unreadable. */
const decode = ({key, value}: Entry): DecodedEntry => {
	const [kind, number = '', phase, softwareVersion = 'v1'] = value.split(':');
	if (kind === 'c') {
		return {
			kind: 'configuration',
			configuration: {
				version: Number(number), routes: [], services: [], limits: {
					maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeout: 1, idleTimeout: 1,
				},
			},
		};
	}

	if (kind === 'u') {
		return {
			kind: 'upstream',
			upstream: {
				id: key, service: 's', address: '127.0.0.1:1', zone: 'a', isLeaving: phase === 'leaving', slots: 1, startedAt: Number(number), softwareVersion,
			},
		};
	}

	return {kind: 'unreadable', reason: 'test'};
};

const entry = (key: string, value: string, revision: number): Entry => ({key, value, revision});

const createView = (): {view: ReturnType<typeof createFleetView>; removed: string[]; lines: string[]} => {
	const removed: string[] = [];
	const lines: string[] = [];
	const logger = createLogger('info', line => {
		lines.push(line);
	});
	const view = createFleetView({
		decode,
		logger,
		onRemoved(key) {
			removed.push(key);
		},
	});
	return {view, removed, lines};
};

// Guards against: an upstream counts as of its earlier software version after it has started again under its id.
test('an upstream whose entry names another software version has restarted, whatever its start time', () => {
	const {view, removed} = createView();
	view.applyChanges([{kind: 'written', entry: entry('a', 'u:1:ready:v1', 2)}], 2, 0);
	view.applyChanges([{kind: 'written', entry: entry('a', 'u:1:leaving:v1', 3)}], 3, 0);
	expect(removed).toEqual([]);
	view.applyChanges([{kind: 'written', entry: entry('a', 'u:1:ready:v2', 4)}], 4, 0);
	expect(removed).toEqual(['a@1']);
	expect(view.getUpstreams('s').map(({softwareVersion}) => softwareVersion)).toEqual(['v2']);
});

const getIds = (view: ReturnType<typeof createFleetView>): string[] => view.getUpstreams('s').map(({id}) => id);

test('a configuration with a lower version is ignored, and a snapshot without one keeps the current one', () => {
	const {view} = createView();
	view.applyChanges([{kind: 'written', entry: entry('op', 'c:7', 5)}], 5, 0);
	view.applyChanges([{kind: 'written', entry: entry('op', 'c:4', 6)}], 6, 0);
	expect(view.getRoutes()?.configuration.version).toBe(7);
	view.applySnapshot({entries: [], revision: 7}, 0);
	expect(view.getRoutes()?.configuration.version).toBe(7);
	expect(view.getRoutes()).toEqual(buildRouteTable(view.getRoutes()!.configuration));
});

test('an upstream that is leaving accepts no new requests', () => {
	const {view} = createView();
	view.applyChanges([{kind: 'written', entry: entry('u1', 'u:1:ready', 1)}], 1, 0);
	expect(getIds(view)).toEqual(['u1']);
	view.applyChanges([{kind: 'written', entry: entry('u1', 'u:1:leaving', 2)}], 2, 0);
	expect(getIds(view)).toEqual([]);
});

// Guards against: the entry of an engine that leaves says `ready` before and after the engine has said otherwise.
test('an upstream that has said that it leaves accepts no new requests whatever its entry says, until it starts again', () => {
	const {view} = createView();
	view.applySnapshot({entries: [entry('u1', 'u:1:ready', 1), entry('u2', 'u:1:ready', 1)], revision: 1}, 0);
	expect(view.markLeaving('u1@1', 'own')).toBe(true);
	expect(view.markLeaving('u1@1', 'h2')).toBe(false);
	expect(view.markLeaving('u3@1', 'h2')).toBe(true);
	const getIds = (): string[] => view.getUpstreams('s').map(({id}) => id);
	expect(getIds()).toEqual(['u2']);
	view.applyChanges([{kind: 'written', entry: entry('u1', 'u:1:ready', 2)}, {kind: 'written', entry: entry('u3', 'u:1:ready', 3)}], 3, 0);
	expect(getIds()).toEqual(['u2']);
	expect(view.isUsable('u1@1')).toBe(false);
	view.applyChanges([{kind: 'written', entry: entry('u1', 'u:2:ready', 4)}], 4, 0);
	expect(getIds().toSorted()).toEqual(['u1', 'u2']);
});

test('a restart under the same id is a new incarnation', () => {
	const {view, removed} = createView();
	view.applyChanges([{kind: 'written', entry: entry('u1', 'u:1:ready', 1)}], 1, 0);
	view.applyChanges([{kind: 'written', entry: entry('u1', 'u:2:ready', 2)}], 2, 0);
	expect(removed).toEqual(['u1@1']);
	expect(view.isUsable('u1@2')).toBe(true);
	expect(view.isUsable('u1@1')).toBe(false);
});

test('an entry that becomes unreadable removes its upstream and no other', () => {
	const {view, lines} = createView();
	view.applyChanges([
		{kind: 'written', entry: entry('u1', 'u:1:ready', 1)},
		{kind: 'written', entry: entry('u2', 'u:1:ready', 2)},
		{kind: 'written', entry: entry('u1', '?', 3)},
	], 3, 0);
	expect(getIds(view)).toEqual(['u2']);
	expect(lines.join('')).toContain('event=entry-unreadable key=u1');
});

test('an entry that is removed while the store is reachable is removed at once', () => {
	const {view, removed} = createView();
	view.applyChanges([{kind: 'written', entry: entry('u1', 'u:1:ready', 1)}], 1, 10_000);
	view.applyChanges([{kind: 'removed', key: 'u1', revision: 2}], 2, 10_000);
	expect(getIds(view)).toEqual([]);
	expect(removed).toEqual(['u1@1']);
});

test('entries whose leases expired in an outage are kept for two seconds after it', () => {
	const {view} = createView();
	view.recordContact(true, 0);
	view.applyChanges([{kind: 'written', entry: entry('u1', 'u:1:ready', 1)}, {kind: 'written', entry: entry('u2', 'u:1:ready', 2)}], 2, 0);
	view.recordContact(false, 1000);
	view.recordContact(true, 9000);
	view.applySnapshot({entries: [], revision: 9}, 9000);
	expect(getIds(view)).toEqual(['u1', 'u2']);
	view.applyChanges([{kind: 'written', entry: entry('u2', 'u:1:ready', 10)}], 10, 10_000);
	view.applyDeferredRemovals(10_900);
	expect(getIds(view)).toEqual(['u1', 'u2']);
	view.applyDeferredRemovals(11_000);
	expect(getIds(view)).toEqual(['u2']);
});

test('a late removal does not undo a newer entry', () => {
	const {view} = createView();
	view.applyChanges([{kind: 'written', entry: entry('u1', 'u:1:ready', 5)}], 5, 0);
	view.applyChanges([{kind: 'removed', key: 'u1', revision: 4}], 5, 0);
	expect(getIds(view)).toEqual(['u1']);
});

test('host records are parsed, and malformed ones ignored', () => {
	const {view, lines} = createView();
	const record = {
		host: 'h1', incarnation: 1, zone: 'a', callers: '127.0.0.1:1', peers: '127.0.0.1:2', notes: '127.0.0.1:3', strength: 1, isStopping: false,
	};
	view.applyChanges([
		{kind: 'written', entry: entry(getHostKey('h1'), JSON.stringify(record), 1)},
		{kind: 'written', entry: entry(getHostKey('h2'), '{}', 2)},
	], 2, 0);
	expect(view.getHosts()).toEqual([record]);
	expect(lines.join('')).toContain('event=entry-unreadable');
});

const hostEntry = (host: string, revision: number): Entry => entry(getHostKey(host), JSON.stringify({
	host, incarnation: 1, zone: 'a', callers: '127.0.0.1:1', peers: '127.0.0.1:2', notes: '127.0.0.1:3', strength: 1, isStopping: false,
}), revision);

// Guards against: a host ignores a store that was restored from an older copy until that has given out as many revisions as before, or forgets the fleet meanwhile.
test('after a restore, lost entries are kept until they can have been written again, and entries with lower revisions count', () => {
	const {view, lines} = createView();
	view.applyChanges([
		{kind: 'written', entry: entry('c', 'c:7', addEra(1, 50))},
		{kind: 'written', entry: entry('a', 'u:1:ready', addEra(1, 51))},
		{kind: 'written', entry: entry('b', 'u:1:ready', addEra(1, 52))},
		{kind: 'written', entry: hostEntry('h1', addEra(1, 53))},
		{kind: 'written', entry: hostEntry('h2', addEra(1, 54))},
	], addEra(1, 54), 0);
	view.applySnapshot({entries: [entry('c', 'c:6', addEra(2, 30))], revision: addEra(2, 40)}, 10_000);
	expect(lines.join('\n')).toContain('event=store-restored');
	expect(view.getRoutes()?.configuration.version).toBe(7);
	view.applyDeferredRemovals(13_000);
	expect(view.getUpstreams('s').map(({id}) => id)).toEqual(['a', 'b']);
	expect(view.getHosts().map(({host}) => host)).toEqual(['h1', 'h2']);
	view.applyChanges([
		{kind: 'written', entry: entry('a', 'u:1:leaving', addEra(2, 41))},
		{kind: 'written', entry: hostEntry('h1', addEra(2, 42))},
		{kind: 'written', entry: entry('c', 'c:8', addEra(2, 43))},
	], addEra(2, 43), 13_500);
	expect(view.getUpstreams('s').map(({id}) => id)).toEqual(['b']);
	expect(view.getRoutes()?.configuration.version).toBe(8);
	view.applyDeferredRemovals(14_000);
	expect(view.getUpstreams('s')).toEqual([]);
	expect(view.getHosts().map(({host}) => host)).toEqual(['h1']);
});

// Guards against: an upstream that leaves, or an earlier incarnation of one, gets requests because an older copy of the store lists it.
test('a restore brings back neither an upstream that leaves nor an earlier incarnation', () => {
	const {view, removed} = createView();
	view.applyChanges([
		{kind: 'written', entry: entry('a', 'u:1:leaving', addEra(1, 50))},
		{kind: 'written', entry: entry('b', 'u:2:ready', addEra(1, 51))},
	], addEra(1, 51), 0);
	view.applySnapshot({entries: [entry('a', 'u:1:ready', addEra(2, 30)), entry('b', 'u:1:ready', addEra(2, 31))], revision: addEra(2, 40)}, 10_000);
	expect(view.isUsable('a@1')).toBe(false);
	expect(view.isUsable('b@2')).toBe(true);
	expect(removed).toEqual([]);
	view.applyChanges([{kind: 'written', entry: entry('a', 'u:3:ready', addEra(2, 41))}, {kind: 'written', entry: entry('b', 'u:1:ready', addEra(2, 42))}], addEra(2, 42), 20_000);
	expect(view.isUsable('a@3')).toBe(true);
	expect(view.isUsable('b@1')).toBe(true);
});

// Guards against: an upstream that is gone is listed again, as the answer to an earlier call arrives after that to a later one.
test('changes that arrive late bring nothing back that was removed since', () => {
	const {view} = createView();
	view.applyChanges([{kind: 'written', entry: entry('a', 'u:1:ready:v1', 2)}, {kind: 'removed', key: 'a', revision: 3}], 3, 0);
	view.applyChanges([{kind: 'written', entry: entry('a', 'u:1:ready:v1', 2)}], 2, 0);
	expect(view.getUpstreams('s')).toEqual([]);
	expect(view.getRevision()).toBe(3);
});

/** Number of entries beyond what a view holds. */
const tooMany = 30_000;

const countHeld = (view: ReturnType<typeof createFleetView>): number => view.getSnapshot().entries.length;

const writeAll = (view: ReturnType<typeof createFleetView>, first: number, count: number): void => {
	const changes = Array.from({length: count}, (_, index) => ({kind: 'written', entry: entry(`x${index}`, 'u:1:ready', first + index)} as const));
	view.applyChanges(changes, first + count, 0);
};

// Guards against: a writer that goes on to add entries ends every host, as what they hold grows without bound.
test('a view that is full takes no new entries, but changes of known ones and the configuration', () => {
	const {view, lines} = createView();
	view.applyChanges([{kind: 'written', entry: entry('a', 'u:1:ready', 1)}], 1, 0);
	writeAll(view, 2, tooMany);
	expect(countHeld(view)).toBeLessThan(tooMany);
	expect(view.isIncomplete()).toBe(true);
	expect(lines.filter(line => line.includes('event=view-full'))).toHaveLength(1);
	view.applyChanges([{kind: 'written', entry: entry('a', 'u:1:leaving', 40_000)}, {kind: 'written', entry: entry('op', 'c:7', 40_001)}], 40_001, 0);
	expect(view.getUpstreams('s').some(({id}) => id === 'a')).toBe(false);
	expect(view.getRoutes()?.configuration.version).toBe(7);
});

// Guards against: the same, by few entries with long values.
test('a view holds so many characters at most', () => {
	const {view} = createView();
	const value = `u:1:ready:${'v'.repeat(1_000_000)}`;
	view.applyChanges(Array.from({length: 20}, (_, index) => ({kind: 'written', entry: entry(`x${index}`, value, index + 1)} as const)), 20, 0);
	expect(countHeld(view)).toBeLessThan(6);
	expect(view.isIncomplete()).toBe(true);
});

test('a view that was full is read again once entries are removed', () => {
	const {view} = createView();
	writeAll(view, 1, tooMany);
	expect(view.canBeCompleted()).toBe(false);
	view.applyChanges(Array.from({length: 10_000}, (_, index) => ({kind: 'removed', key: `x${index}`, revision: 40_000} as const)), 40_000, 0);
	expect(view.canBeCompleted()).toBe(true);
	view.applySnapshot({entries: [entry('b', 'u:1:ready', 9)], revision: 50_000}, 0);
	expect(view.isIncomplete()).toBe(false);
	expect(getIds(view)).toEqual(['b']);
});

// Guards against: a value of some megabytes takes many times as much memory while it is decoded.
test('an entry with a value beyond any that the store accepts is unreadable', () => {
	const {view} = createView();
	view.applyChanges([{kind: 'written', entry: entry('a', `u:1:ready:${'v'.repeat(3_000_000)}`, 1)}], 1, 0);
	expect(view.countInvalidEntries()).toBe(1);
	expect(view.getUpstreams('s')).toEqual([]);
});

// Guards against: a host has no time for calls, as it decodes all that finds no room at each reading of the state.
test('entries that find no room are not decoded again', () => {
	let decoded = 0;
	const view = createFleetView({
		decode(other) {
			decoded += 1;
			return decode(other);
		},
		logger: createLogger('error', () => undefined),
	});
	const entries = [entry('op', 'c:7', 1), ...Array.from({length: tooMany}, (_, index) => entry(`x${index}`, 'u:1:ready', 2))];
	view.applySnapshot({entries, revision: 3}, 0);
	decoded = 0;
	view.applySnapshot({entries, revision: 4}, 0);
	expect(decoded).toBe(0);
});
