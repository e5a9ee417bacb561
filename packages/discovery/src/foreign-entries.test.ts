import {createLogger} from '@gentianlift/logger';
import type {Entry} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {createForeignEntries, type ForeignEntries} from './foreign-entries.js';

const createRecorded = (): {foreign: ForeignEntries; lines: string[]} => {
	const lines: string[] = [];
	const foreign = createForeignEntries(createLogger('info', line => {
		lines.push(line);
	}));
	return {foreign, lines};
};

const entry = (key: string, revision: number, length = 10): Entry => ({key, value: 'x'.repeat(length), revision});

test('entries that name nothing are counted until they are gone, and their reads for ever', () => {
	const {foreign} = createRecorded();
	foreign.add(entry('a', 1), 'test');
	foreign.add(entry('a', 1), 'test');
	foreign.add(entry('a', 2, 30), 'test');
	foreign.add(entry('b', 3), undefined);
	expect(foreign.countUnreadable()).toBe(1);
	expect(foreign.getTotals()).toEqual({
		entries: 2, length: 40, entriesRead: 3, lengthRead: 50,
	});
	foreign.remove('a');
	expect(foreign.countUnreadable()).toBe(0);
	foreign.beginReading();
	foreign.endReading();
	expect(foreign.getTotals()).toEqual({
		entries: 0, length: 0, entriesRead: 3, lengthRead: 50,
	});
});

// Guards against: what another writer leaves fills the memory or the log of a host by its keys alone.
test('keys beyond the first are counted without being remembered, and a reading counts them anew', () => {
	const {foreign, lines} = createRecorded();
	const addAll = (): void => {
		for (let index = 0; index < 20_000; index++) {
			foreign.add(entry(`k${index}`, 1), index % 2 === 0 ? 'test' : undefined);
		}
	};

	addAll();
	expect(foreign.getTotals().entries).toBe(20_000);
	foreign.beginReading();
	addAll();
	foreign.endReading();
	expect(foreign.getTotals()).toMatchObject({entries: 20_000, length: 200_000});
	expect(foreign.countUnreadable()).toBe(10_000);
	expect(lines.filter(line => line.includes('event=entry-unreadable'))).toHaveLength(50);
	expect(lines.length).toBeLessThan(70);
});

test('a key longer than any of the store is counted without being remembered', () => {
	const {foreign, lines} = createRecorded();
	foreign.add(entry('k'.repeat(1_000_000), 1), 'test');
	foreign.add(entry('k'.repeat(1_000_000), 2), 'test');
	expect(foreign.getTotals().entries).toBe(2);
	expect(lines.join('').length).toBeLessThan(1000);
});

test('a summary names the last key and the largest, each time that what was read has doubled', () => {
	const {foreign, lines} = createRecorded();
	foreign.add(entry('small', 1), undefined);
	foreign.add(entry('large', 2, 3_000_000), undefined);
	expect(lines).toEqual([]);
	for (let revision = 3; revision < 100; revision++) {
		foreign.add(entry('again', revision, 1_500_000), undefined);
	}

	expect(lines[0]).toContain('event=entries-foreign entries=3');
	expect(lines[0]).toContain('last=again largest=large:3000000,again:1500000,small:10');
	expect(lines.length).toBeLessThan(10);
});
