import {createManualClock} from '@gentianlift/clock';
import {createSilentLogger} from '@gentianlift/logger';
import {addEra} from '@gentianlift/platform';
import type {ChangeFeed, Entry} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {createFleetView, type FleetView} from './fleet-view.js';
import {followFleet} from './follow-fleet.js';
import {getHostKey} from './host-record.js';

const entry = (key: string, revision: number): Entry => ({key, value: '', revision});

const createView = (): FleetView => createFleetView({decode: () => ({kind: 'other'}), logger: createSilentLogger()});

const getEntries = (view: FleetView): Entry[] => view.getSnapshot().entries.toSorted((one, other) => one.key < other.key ? -1 : 1);

// Guards against: a host reads the whole state again and again, as others tell it of changes while the pages arrive.
test('a state during whose reading another host sends changes is applied', async () => {
	const clock = createManualClock();
	const view = createView();
	let reads = 0;
	const feed: ChangeFeed = {
		async readAll(reading) {
			reads += 1;
			reading!.position.revision = 10;
			for (const read of [entry('a', 1), entry('b', 2)]) {
				reading!.add(read);
			}

			await clock.sleep(1000);
			return {kind: 'found', snapshot: {entries: reading!.getEntries(), revision: 10}};
		},
		async waitForChanges(revision, limit) {
			await clock.sleep(limit);
			return {kind: 'changed', changes: [], revision};
		},
	};
	view.applyChanges([{kind: 'written', entry: entry('a', 1)}], 5, 0);
	const follower = followFleet({
		feed, view, clock, logger: createSilentLogger(), fetchFromPeer: async () => undefined, getNewestRevision: () => 0, hasRelayFeed: () => true, onChanges: () => undefined,
	});
	for (let revision = 6; revision < 16; revision++) {
		// eslint-disable-next-line no-await-in-loop -- One change after the other.
		await clock.advance(90);
		view.applyChanges([{kind: 'written', entry: entry('c', revision)}], revision, 0);
	}

	await clock.advance(200);
	expect(getEntries(view)).toEqual([entry('a', 1), entry('b', 2), entry('c', 15)]);
	expect([view.getRevision(), reads]).toEqual([15, 1]);
	follower.stop();
});

test('what is written, removed or spoiled while the state is read is part of it, whatever the pages have', () => {
	const view = createFleetView({
		decode: ({value}) => value === 'odd' ? {kind: 'unreadable', reason: 'test'} : {kind: 'other'}, logger: createSilentLogger(),
	});
	view.applyChanges([{kind: 'written', entry: entry('a', 2)}, {kind: 'written', entry: entry('b', 3)}, {kind: 'written', entry: entry('f', 3)}], 3, 0);
	const reading = view.createReading();
	reading.position.revision = 4;
	reading.add(entry('a', 2));
	reading.add(entry('f', 3));
	view.applyChanges([
		{kind: 'written', entry: entry('c', 5)}, {kind: 'removed', key: 'a', revision: 6}, {kind: 'written', entry: {...entry('f', 7), value: 'odd'}},
	], 7, 0);
	for (const read of [entry('a', 2), entry('b', 3), {...entry('c', 4), value: 'odd'}, entry('e', 1), entry('f', 3)]) {
		const selected = reading.select(read);
		if (selected !== undefined) {
			reading.add(selected);
		}
	}

	view.applySnapshot({entries: reading.getEntries(), revision: 4}, 0, reading);
	expect(getEntries(view)).toEqual([entry('b', 3), entry('c', 5), entry('e', 1)]);
	expect(view.getRevision()).toBe(7);
});

// Guards against: a host that is gone stays listed, as its entry was spoiled in a page that was read before it was removed.
test('an entry that was spoiled and then removed while the state is read is removed', () => {
	const view = createView();
	const key = getHostKey('h');
	const record = {
		host: 'h', incarnation: 1, zone: 'a', callers: '127.0.0.1:1', peers: '127.0.0.1:2', notes: '127.0.0.1:3', strength: 1, isStopping: false,
	};
	// After a restore of the store, the removal of a host is deferred.
	view.applyChanges([{kind: 'written', entry: {key, value: JSON.stringify(record), revision: addEra(1, 3)}}], addEra(1, 3), 0);
	view.applySnapshot({entries: [{key, value: JSON.stringify(record), revision: addEra(2, 3)}], revision: addEra(2, 3)}, 0);
	const reading = view.createReading();
	reading.position.revision = addEra(2, 4);
	reading.select({key, value: 'odd', revision: addEra(2, 4)});
	view.applyChanges([{kind: 'removed', key, revision: addEra(2, 5)}], addEra(2, 5), 100);
	view.applySnapshot({entries: reading.getEntries(), revision: addEra(2, 4)}, 200, reading);
	view.applyDeferredRemovals(10_000);
	expect(view.getHosts()).toEqual([]);
});

test('a state is not applied if the view of another host came during its reading', () => {
	const view = createView();
	const reading = view.createReading();
	reading.position.revision = 4;
	view.applySnapshot({entries: [entry('a', 5)], revision: 5}, 0);
	expect(view.canApply({entries: [], revision: 4}, reading)).toBe(false);
});
