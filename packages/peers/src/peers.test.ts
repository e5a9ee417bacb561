import {expect, test} from 'vitest';
import {createSystemClock} from '@gentianlift/clock';
import {createMetrics} from '@gentianlift/metrics';
import type {Address, PeerHandlers} from '@gentianlift/types';
import {
	areValidCredentials, createCredentials, createPeerCalls, startPeerServer,
} from './index.js';

const clock = createSystemClock();
const address: Address = '127.0.0.1:24811';

const unused = async (): Promise<never> => {
	throw new Error('not used');
};

const handlers: PeerHandlers = {
	exchangeGrants: unused,
	pushGrants: async () => ({received: true}),
	exchangeQuota: unused,
	claim: unused,
	settleClaim: unused,
	readConfiguration: async from => ({
		newest: {
			version: 3, token: from, author: '', acceptedAt: 0, note: '', configuration: {
				inventory: {
					engines: [], models: [], adapters: [], services: [], customers: [],
				}, rules: {tiers: [], classes: []},
			},
		},
	}),
	readAccount: unused,
	readPlacementFacts: unused,
};

const createCalls = (keys: string[], to: Address = address) => createPeerCalls({
	self: 'a', keys, getAddress: () => to, clock, metrics: createMetrics(), timeout: 2000,
});

test('carries a call between hosts and names the caller', async () => {
	const server = await startPeerServer({
		self: 'b', address, keys: ['old', 'new'], handlers, clock, metrics: createMetrics(),
	});
	const calls = createCalls(['new']);
	expect(await calls.readConfiguration('b', {after: 0})).toMatchObject({kind: 'answered', answer: {newest: {version: 3, token: 'a'}}});
	expect(await calls.exchangeGrants('b', {
		host: 'a', incarnation: 1, group: 'g', sequence: 1, asks: [], ends: [],
	})).toMatchObject({kind: 'unknown'});
	calls.close();
	await server.close();
});

test('drops and counts a stranger', async () => {
	const metrics = createMetrics();
	const server = await startPeerServer({
		self: 'b', address, keys: ['right'], handlers, clock, metrics,
	});
	const calls = createCalls(['wrong']);
	const outcome = await calls.pushGrants('b', {owner: true, group: 'g', decisions: []});
	expect(outcome.kind).not.toBe('answered');
	expect(metrics.getValue('peer_strangers_total')).toBeGreaterThan(0);
	calls.close();
	await server.close();
});

test('tells a host that never answered from one that was lost', async () => {
	const calls = createCalls(['k'], '127.0.0.1:24812');
	expect(await calls.pushGrants('b', {owner: true, group: 'g', decisions: []})).toMatchObject({kind: 'unreachable'});
	calls.close();
});

test('closes a connection without calls and opens it again', async () => {
	const server = await startPeerServer({
		self: 'b', address, keys: ['k'], handlers, clock, metrics: createMetrics(),
	});
	const metrics = createMetrics();
	const calls = createPeerCalls({
		self: 'a', keys: ['k'], getAddress: () => address, clock, metrics, timeout: 2000, idleLimit: 30,
	});
	expect(await calls.readConfiguration('b', {after: 0})).toMatchObject({kind: 'answered'});
	expect(metrics.getValue('peer_connections')).toBe(1);
	await expect.poll(() => metrics.getValue('peer_connections')).toBe(0);
	expect(await calls.readConfiguration('b', {after: 0})).toMatchObject({kind: 'answered'});
	calls.close();
	await server.close();
});

test('refuses credentials for another host, old ones and forged ones', () => {
	const credentials = createCredentials(['k'], 'a', 'b', 1_000_000);
	expect(areValidCredentials(['k'], credentials, 'b', 1_000_000)).toBe(true);
	expect(areValidCredentials(['k'], credentials, 'c', 1_000_000)).toBe(false);
	expect(areValidCredentials(['k'], credentials, 'b', 2_000_000)).toBe(false);
	expect(areValidCredentials(['k'], {...credentials, from: 'x'}, 'b', 1_000_000)).toBe(false);
});
