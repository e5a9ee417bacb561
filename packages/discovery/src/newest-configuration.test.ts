import {createSilentLogger} from '@gentianlift/logger';
import {addEra} from '@gentianlift/platform';
import type {Entry, Snapshot} from '@gentianlift/types';
import {expect, test} from 'vitest';
import type {DecodedEntry} from './decoded-entry.js';
import {createFleetView, type FleetView} from './fleet-view.js';

/** Decodes a number as the version of a configuration; anything else is unreadable. */
const decode = ({value}: Entry): DecodedEntry => {
	const version = Number(value);
	return Number.isNaN(version)
		? {kind: 'unreadable', reason: 'test'}
		: {
			kind: 'configuration',
			configuration: {
				version, routes: [], services: [], limits: {
					maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeout: 1, idleTimeout: 1,
				},
			},
		};
};

const createView = (): FleetView => createFleetView({decode, logger: createSilentLogger()});

const buildSnapshot = (value: string, revision: number, storeRevision = revision): Snapshot => ({entries: [{key: 'c', value, revision}], revision: storeRevision});

const getVersion = (view: FleetView): number | undefined => view.getRoutes()?.configuration.version;

/** Returns a view that has known version 7, and then reads what the store holds after a restore. */
const readRestored = (...restored: Snapshot[]): FleetView => {
	const view = createView();
	for (const snapshot of [buildSnapshot('7', addEra(1, 50)), ...restored]) {
		view.applySnapshot(snapshot, 0);
	}

	return view;
};

// Guards against: a host that starts after a restore of the store gets the older configuration from a host that goes by the newer one.
test('a view hands on the newest configuration, whatever the store holds by now', () => {
	const restored = [buildSnapshot('6', addEra(2, 30), addEra(2, 40)), buildSnapshot('unreadable', addEra(2, 41)), {entries: [], revision: addEra(2, 42)}];
	for (const snapshot of [...restored.map(one => [one]), restored, [restored[0]!, buildSnapshot('5', addEra(3, 10))]]) {
		const starting = createView();
		starting.applySnapshot(readRestored(...snapshot).getSnapshot(), 0);
		expect(getVersion(starting)).toBe(7);
	}
});

// Guards against: hosts of a build that compares revisions only keep the older configuration, as the newest is handed on with the revision that it had before the restore.
test('the newest configuration is handed on with a later revision than the store\'s older one', () => {
	const {entries, revision} = readRestored(buildSnapshot('6', addEra(2, 30), addEra(2, 40))).getSnapshot();
	expect(entries).toEqual([{key: 'c', value: '7', revision}]);
	expect(revision).toBe(addEra(2, 40));
});

// Guards against: a host that has read an older configuration from a restored store keeps it, as the newer one has an earlier revision.
test('a view takes over a newer configuration with an earlier revision', () => {
	const view = createView();
	view.applySnapshot(buildSnapshot('6', addEra(2, 30)), 0);
	view.applySnapshot({entries: [{key: 'c', value: '7', revision: addEra(1, 50)}], revision: addEra(2, 31)}, 0);
	expect(getVersion(view)).toBe(7);
	view.applySnapshot(buildSnapshot('8', addEra(2, 32)), 0);
	expect(getVersion(view)).toBe(8);
	expect(view.getSnapshot()).toEqual(buildSnapshot('8', addEra(2, 32)));
});

// Guards against: a host that has read an unreadable configuration takes none from other hosts, as theirs isn't of a later revision.
test('a configuration of another host counts whatever its revision, and an entry that holds none isn\'t handed on in its place', () => {
	const view = createView();
	view.applySnapshot(buildSnapshot('unreadable', 50), 0);
	expect(getVersion(view)).toBeUndefined();
	view.applyConfigurationEntry({key: 'c', value: '7', revision: 50});
	expect(getVersion(view)).toBe(7);
	expect(view.getSnapshot().entries).toEqual([{key: 'c', value: '7', revision: 50}]);
	expect(view.countInvalidEntries()).toBe(0);
});
