import {createFleetView} from '@gentianlift/discovery';
import {createSilentLogger} from '@gentianlift/logger';
import type {Entry} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {classifyRecord} from './store-records.js';

const megabyte = 1024 * 1024;

/** Creates a view that knows records alone. */
const createView = () => createFleetView({decode: () => ({kind: 'other'}), classifyRecord, logger: createSilentLogger()});

const usageKey = 'gentianlift/usage';
const usage = JSON.stringify({last: 3, reports: []});
const duty = {host: 'h', incarnation: 1, lease: '7'};

const read = (entries: Array<Pick<Entry, 'key' | 'value'>>) => {
	const view = createView();
	view.applySnapshot({entries: entries.map(entry => ({...entry, revision: 5})), revision: 5}, 0);
	return view;
};

test('records of duties and usage reports are held, and no other entry', () => {
	const view = read([{key: 'gentianlift/duties/usage', value: JSON.stringify(duty)}, {key: usageKey, value: usage}, {key: 'gentianlift/other', value: 'x'}, {key: 'z', value: 'x'}]);
	expect(view.getSnapshot().entries.map(({key}) => key)).toEqual(['gentianlift/duties/usage', usageKey]);
});

// Guards against: records that look like those of duties, with a megabyte of other fields, take the room of all upstreams.
test('long entries under the keys of duties take no room', () => {
	const long = JSON.stringify({...duty, other: 'x'.repeat(megabyte - 100)});
	const view = read([...Array.from({length: 20}, (_, index) => ({key: `gentianlift/duties/x-${index}`, value: long})), {key: usageKey, value: usage}]);
	expect(view.isIncomplete()).toBe(false);
	expect(view.getEntry(usageKey)?.value).toBe(usage);
	expect(JSON.stringify(view.getSnapshot()).length).toBeLessThan(10_000);
});

// Guards against: a record that never fits has the state read again without a pause, for ever.
test.each(['\u0001', '\uFFFD', 'x'])('a spoiled record of usage reports is seen as one that can\'t be read, and fits: %j', character => {
	const view = read([{key: usageKey, value: character.repeat(megabyte)}]);
	expect(view.getEntry(usageKey)?.revision).toBe(5);
	expect([view.isIncomplete(), view.canBeCompleted()]).toEqual([false, false]);
});
