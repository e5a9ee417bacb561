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
