import {expect, onTestFinished, test} from 'vitest';
import {createStoreContents} from './store-contents.js';

// Guards against: a change that follows another one at once is in the revision of a watch, and not among its changes, so that hosts never learn of it.
test('a watch returns all changes up to its revision', async () => {
	const contents = createStoreContents();
	onTestFinished(contents.close);
	contents.put('a', '1');
	const watched = contents.watch(contents.getRevision(), 1000);
	contents.remove('a');
	const changes = await watched;
	contents.put('b', '2');
	expect(changes).toMatchObject({events: [{key: 'a', revision: 3}], revision: 3});
	expect(await contents.watch(3, 1000)).toMatchObject({events: [{item: {key: 'b'}}], revision: 4});
});

// Guards against: hosts that never read a very large store, as they watch for changes only.
test('an oversized mode discards the history when it begins and when it ends', async () => {
	const contents = createStoreContents();
	onTestFinished(contents.close);
	contents.put('a', '1');
	const revision = contents.getRevision();
	contents.setFailureMode('large');
	expect(await contents.watch(revision, 100)).toBeUndefined();
	const newest = contents.getRevision();
	contents.setFailureMode(undefined);
	expect(await contents.watch(newest, 100)).toBeUndefined();
});

test('a restore gives revisions and leases out again, and loses what hosts have written since the copy', async () => {
	const contents = createStoreContents();
	onTestFinished(contents.close);
	contents.put('operator', '1');
	contents.setFailureMode('restored');
	const lease = contents.grantLease(60_000);
	contents.commit({expect: [], write: [{key: 'host', value: '1', lease}], remove: []});
	contents.put('operator', '2');
	expect(contents.getRevision()).toBe(4);
	contents.setFailureMode(undefined);
	expect(contents.getEra()).toBe(2);
	expect(contents.getItems()).toMatchObject([{key: 'operator', value: '2', revision: 3}]);
	expect(contents.renewLease(lease)).toBeUndefined();
	expect(contents.grantLease(60_000)).toBe(lease);
	expect(await contents.watch(4, 100)).toBeUndefined();
});
