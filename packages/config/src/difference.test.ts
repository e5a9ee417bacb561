import {expect, test} from 'vitest';
import {formatChange, getDifference} from './index.js';

test('reports changed, added and removed items by name', () => {
	const before = {engines: [{id: 'a', slots: 1}, {id: 'b', slots: 1}], hours: ['x']};
	const after = {engines: [{id: 'c', slots: 1}, {id: 'b', slots: 2}], hours: ['x']};
	expect(getDifference(before, after).map(change => formatChange(change))).toEqual([
		'- $.engines.a: {"id":"a","slots":1}',
		'~ $.engines.b.slots: 1 -> 2',
		'+ $.engines.c: {"id":"c","slots":1}',
	]);
});

test('ignores the order of list items that have names', () => {
	expect(getDifference([{name: 'a'}, {name: 'b'}], [{name: 'b'}, {name: 'a'}])).toEqual([]);
	expect(getDifference(['a', 'b'], ['b', 'a'])).toHaveLength(1);
});
