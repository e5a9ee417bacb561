import {gunzipSync} from 'node:zlib';
import {createManualClock} from '@gentianlift/clock';
import {expect, test} from 'vitest';
import {createCompressedView} from './compressed-view.js';

// Guards against: a large view is written and compressed anew for each of the hosts that read it at once.
test('hosts that read at once get one text, later ones or those after a change another', async () => {
	const clock = createManualClock();
	const state = {revision: 1, reads: 0};
	const compressed = createCompressedView({
		getRevision: () => state.revision,
		getSnapshot() {
			state.reads += 1;
			return {entries: [], revision: state.revision};
		},
	}, clock);
	const texts = await Promise.all(Array.from({length: 10}, async () => compressed.get()));
	expect(new Set(texts).size).toBe(1);
	expect(JSON.parse(gunzipSync(texts[0]!).toString())).toEqual({entries: [], revision: 1});
	state.revision = 2;
	await compressed.get();
	expect(state.reads).toBe(2);
	await clock.advance(200);
	await compressed.get();
	expect(state.reads).toBe(3);
});
