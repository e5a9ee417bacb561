import {expect, test} from 'vitest';
import {createSystemClock} from '@gentianlift/clock';
import {createMetrics} from '@gentianlift/metrics';
import type {Address, PeerHandlers} from '@gentianlift/types';
import {
	areValidCredentials, createCredentials, createPeerCalls, startPeerServer,
} from './index.js';

const clock = createSystemClock();
const address: Address = '127.0.0.1:24811';

const rejectUnused = async (): Promise<never> => {
	throw new Error('not used');
};

const handlers: PeerHandlers = {
	exchangeGrants: rejectUnused,
	pushGrants: async () => ({received: true}),
	exchangeQuota: rejectUnused,
	claim: rejectUnused,
	settleClaim: rejectUnused,
	readConfiguration: async from => ({
		newest: {
			version: 3, token: from, author: '', acceptedAt: 0, note: '', configuration: {
				inventory: {
					engines: [], models: [], adapters: [], services: [], customers: [],
				}, rules: {tiers: [], classes: []},
			},
		},
	}),
	readAccount: rejectUnused,
	readPlacementFacts: rejectUnused,
};

const createCalls = (keys: string[], to: Address = address) => createPeerCalls({
	self: 'a', keys, getAddress: () => to, clock, metrics: createMetrics(), timeout: 2000,
});

test('passes a call and the authenticated caller to the handler', async () => {
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

test('rejects and counts a caller with a wrong key', async () => {
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

test('reports a host without a listener as unreachable', async () => {
	const calls = createCalls(['k'], '127.0.0.1:24812');
	expect(await calls.pushGrants('b', {owner: true, group: 'g', decisions: []})).toMatchObject({kind: 'unreachable'});
	calls.close();
});

test('closes an idle connection and reopens it on the next call', async () => {
	const server = await startPeerServer({
		self: 'b', address, keys: ['k'], handlers, clock, metrics: createMetrics(),
	});
	const metrics = createMetrics();
	const calls = createPeerCalls({
		self: 'a', keys: ['k'], getAddress: () => address, clock, metrics, timeout: 2000, idleTimeout: 30,
	});
	expect(await calls.readConfiguration('b', {after: 0})).toMatchObject({kind: 'answered'});
	expect(metrics.getValue('peer_connections')).toBe(1);
	await expect.poll(() => metrics.getValue('peer_connections')).toBe(0);
	expect(await calls.readConfiguration('b', {after: 0})).toMatchObject({kind: 'answered'});
	calls.close();
	await server.close();
});

// Guards against: a call that lasts longer than the idle timeout has its connection closed, and its outcome is unknown.
test('a connection with a call in flight is not idle', async () => {
	const server = await startPeerServer({
		self: 'b',
		address,
		keys: ['k'],
		handlers: {
			...handlers,
			async readConfiguration(...parameters: Parameters<typeof handlers.readConfiguration>) {
				await clock.sleep(200);
				return handlers.readConfiguration(...parameters);
			},
		},
		clock,
		metrics: createMetrics(),
	});
	const calls = createPeerCalls({
		self: 'a', keys: ['k'], getAddress: () => address, clock, metrics: createMetrics(), timeout: 2000, idleTimeout: 30,
	});
	expect(await calls.readConfiguration('b', {after: 0})).toMatchObject({kind: 'answered'});
	calls.close();
	await server.close();
});

test('rejects credentials that are for another host, expired or forged', () => {
	const credentials = createCredentials(['k'], 'a', 'b', 1_000_000);
	expect(areValidCredentials(['k'], credentials, 'b', 1_000_000)).toBe(true);
	expect(areValidCredentials(['k'], credentials, 'c', 1_000_000)).toBe(false);
	expect(areValidCredentials(['k'], credentials, 'b', 2_000_000)).toBe(false);
	expect(areValidCredentials(['k'], {...credentials, from: 'x'}, 'b', 1_000_000)).toBe(false);
});
