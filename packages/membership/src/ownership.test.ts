import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {Member} from '@gentianlift/types';
import {
	getEligibleHosts, getHostListResponse, getOwner, getOwners,
} from './index.js';

const hosts = Array.from({length: 7}, (_, index) => `h${index}`);
const keys = Array.from({length: 2000}, (_, index) => `key-${index}`);

const createMember = (host: string, overrides: Partial<Member> = {}): Member => ({
	host, incarnation: 1, zone: 'a', callerAddress: `${host}:80`, peerAddress: `${host}:90`, gossipAddress: `${host}:70`, state: 'alive', configurationVersion: 1, load: 0, ...overrides,
});

test('a lost host moves only its own keys', () => {
	const remaining = hosts.filter(host => host !== 'h3');
	for (const key of keys) {
		const owner = getOwner(key, hosts);
		expect(owner === 'h3' || getOwner(key, remaining) === owner).toBe(true);
	}
});

test('keys are distributed evenly', () => {
	const owned = keys.filter(key => getOwner(key, hosts) === 'h3').length;
	expect(owned).toBeGreaterThan(keys.length / 7 * 0.8);
	expect(owned).toBeLessThan(keys.length / 7 * 1.2);
});

test('the owner is the first of the owners, regardless of the order of the hosts', () => {
	fc.assert(fc.property(fc.string(), fc.shuffledSubarray(hosts, {minLength: 1}), (key, subset) => {
		expect(getOwners(key, subset, 3)[0]).toBe(getOwner(key, subset.toSorted()));
	}), {seed: 1});
});

test('draining and gone hosts own nothing', () => {
	const members = [createMember('h0'), createMember('h1', {state: 'draining'}), createMember('h2', {state: 'suspected'}), createMember('h3', {state: 'gone'})];
	expect(getEligibleHosts(members)).toEqual(['h0', 'h2']);
	expect(getOwner('key', [])).toBeUndefined();
});

test('an answer lists the zone of the caller first, and leaves out draining and gone hosts', () => {
	const members = [
		createMember('h0', {zone: 'b'}), createMember('h1', {load: 0.5}), createMember('h2', {state: 'draining'}), createMember('h3', {state: 'suspected'}), createMember('h4', {state: 'gone'}),
	];
	const answer = getHostListResponse(members, 'a', 5000);
	expect(answer.hosts.map(({host}) => host)).toEqual(['h1', 'h0', 'h3']);
	expect(answer.hosts.map(({weight}) => weight)).toEqual([55, 25, 1]);
});

test('an answer is empty only if there are no hosts', () => {
	const state = fc.constantFrom('alive', 'suspected', 'draining', 'gone');
	fc.assert(fc.property(fc.array(state, {minLength: 1, maxLength: 100}), states => {
		const members = states.map((value, index) => createMember(`h${index}`, {state: value}));
		expect(getHostListResponse(members, 'a', 5000).hosts.length).toBeGreaterThan(0);
	}), {seed: 1});
});

test('an answer for a large fleet includes hosts of other zones', () => {
	const members = Array.from({length: 480}, (_, index) => createMember(`h${index}`, {zone: index < 400 ? 'a' : 'b'}));
	const {hosts: listed} = getHostListResponse(members, 'a', 5000);
	expect(listed.length).toBe(24);
	expect(listed.filter(({zone}) => zone === 'b').length).toBe(8);
});
