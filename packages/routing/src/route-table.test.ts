import {createRandom} from '@gentianlift/clock';
import {expect, test} from 'vitest';
import {
	buildRouteTable, pickDestination, findCaller, findRoute, getHostname,
} from './route-table.js';
import {buildConfiguration, buildRoute} from './testing.js';

const table = buildRouteTable(buildConfiguration({
	routes: [
		buildRoute({name: 'short', pathPrefix: '/a/'}),
		buildRoute({name: 'long', pathPrefix: '/a/b/'}),
		buildRoute({name: 'other', hostname: 'b.example', isPublic: true}),
	],
	customers: [{name: 'c', keys: ['k1', 'k2'], rank: 3}],
}));

test('the longest matching prefix wins', () => {
	expect(findRoute(table, 'a.example', '/a/b/c?x=/')?.name).toBe('long');
	expect(findRoute(table, 'a.example', '/a/x')?.name).toBe('short');
});

test('a prefix matches up to its final slash, and only the path', () => {
	expect(findRoute(table, 'a.example', '/ab')).toBeUndefined();
	expect(findRoute(table, 'a.example', '/x?/a/')).toBeUndefined();
});

test('host names match without port and regardless of case', () => {
	expect(findRoute(table, getHostname('B.Example:80'), '/a/')?.name).toBe('other');
	expect(findRoute(table, 'c.example', '/a/')).toBeUndefined();
});

test('a key identifies its customer; unknown and missing keys identify nobody', () => {
	const route = buildRoute();
	expect(findCaller(table, route, 'k2')).toMatchObject({kind: 'customer', customer: {name: 'c'}});
	expect(findCaller(table, route, 'k3')).toEqual({kind: 'unknown'});
	expect(findCaller(table, route, undefined)).toEqual({kind: 'unknown'});
});

test('public routes need no key, nor does a configuration without customers', () => {
	expect(findCaller(table, buildRoute({isPublic: true}), undefined)).toEqual({kind: 'anonymous'});
	expect(findCaller(buildRouteTable(buildConfiguration()), buildRoute(), 'k')).toEqual({kind: 'anonymous'});
});

test('destinations are chosen in proportion to their weight', () => {
	const random = createRandom(1);
	const destinations = [{service: 'x', weight: 90}, {service: 'y', weight: 10}, {service: 'z', weight: 0}];
	const picked = Array.from({length: 1000}, () => pickDestination(destinations, random)?.service);
	const ratio = picked.filter(service => service === 'y').length / picked.length;
	expect(ratio).toBeGreaterThan(0.07);
	expect(ratio).toBeLessThan(0.13);
	expect(picked).not.toContain('z');
});

test('no destination is chosen if no weight is above 0', () => {
	expect(pickDestination([{service: 'x', weight: 0}], createRandom(1))).toBeUndefined();
});
