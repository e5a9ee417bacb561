import {expect, test} from 'vitest';
import type {HostRecord} from './host-record.js';
import {findHostsAhead} from './hosts-ahead.js';

const buildHost = (host: string, zone: string): HostRecord => ({
	host, incarnation: 1, zone, callers: '', peers: '', notes: '', strength: 1, isStopping: false,
});

test('hosts with a newer revision are found, first those of the same zone', () => {
	const hosts = [buildHost('h1', 'a'), buildHost('h2', 'b'), buildHost('h3', 'b')];
	const revisions = new Map([['h1', 7], ['h2', 9], ['h3', 5]]);
	const find = (known: number, zone: string): string[] =>
		findHostsAhead(hosts, {known, zone, getReported: host => revisions.get(host)}).map(({host}) => host);
	expect(find(6, 'a')).toEqual(['h1']);
	expect(find(6, 'b')).toEqual(['h2']);
	expect(find(4, 'b')).toEqual(['h2', 'h3']);
	expect(find(6, 'c')).toEqual(['h1', 'h2']);
	expect(find(9, 'a')).toEqual([]);
});
