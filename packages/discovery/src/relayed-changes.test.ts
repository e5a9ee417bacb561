import {createSilentLogger} from '@gentianlift/logger';
import {addEra} from '@gentianlift/platform';
import type {Change} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {createFleetView} from './fleet-view.js';
import {applyRelayedChanges} from './relayed-changes.js';

const written = (key: string, revision: number): Change => ({kind: 'written', entry: {key, value: '', revision}});

/** Applies a batch to a view at a revision; returns whether it counts, and the keys that the view has then. */
const apply = (known: number, after: number): {isFollowed: boolean; keys: string[]} => {
	const view = createFleetView({decode: () => ({kind: 'other'}), logger: createSilentLogger()});
	view.applyChanges([written('known', known)], known, 0);
	const isFollowed = applyRelayedChanges({after, revision: after + 1, changes: [written('new', after + 1)]}, view, 0);
	return {isFollowed, keys: view.getSnapshot().entries.map(({key}) => key)};
};

test('changes that continue the view are applied, those after a gap are not', () => {
	expect(apply(5, 5)).toEqual({isFollowed: true, keys: ['known', 'new']});
	expect(apply(5, 6)).toEqual({isFollowed: true, keys: ['known']});
});

// Guards against: a host takes the changes of a relay that has not noticed a restore of the store, and relies on it in place of the store.
test('changes of another era are neither applied nor followed', () => {
	expect(apply(addEra(2, 5), addEra(1, 9))).toEqual({isFollowed: false, keys: ['known']});
	expect(apply(addEra(1, 5), addEra(2, 4))).toEqual({isFollowed: false, keys: ['known']});
	expect(apply(addEra(2, 5), addEra(2, 5))).toEqual({isFollowed: true, keys: ['known', 'new']});
});
