import {gunzipSync} from 'node:zlib';
import {createManualClock} from '@gentianlift/clock';
import {expect, test} from 'vitest';
import {createCompressedAnswers} from './compressed-answers.js';

// Guards against: a large view is written and compressed anew for each of the hosts that read it at once.
test('hosts that read at once get one text, later ones or those that ask for another get another', async () => {
	const clock = createManualClock();
	const state = {reads: 0};
	const answers = createCompressedAnswers(clock);
	const build = () => {
		state.reads += 1;
		return {entries: [], revision: 1};
	};

	const texts = await Promise.all(Array.from({length: 10}, async () => answers.get('revision 1', build)));
	expect(new Set(texts).size).toBe(1);
	expect(JSON.parse(gunzipSync(texts[0]!).toString())).toEqual({entries: [], revision: 1});
	await answers.get('revision 2', build);
	expect(state.reads).toBe(2);
	await clock.advance(200);
	await answers.get('revision 2', build);
	expect(state.reads).toBe(3);
});
