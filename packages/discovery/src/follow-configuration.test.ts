import {createManualClock} from '@gentianlift/clock';
import {createLogger} from '@gentianlift/logger';
import {buildRouteTable, type RouteTable} from '@gentianlift/routing';
import {expect, test} from 'vitest';
import type {ConfigurationQuery, NewerConfigurations} from './configuration-calls.js';
import {followConfiguration} from './follow-configuration.js';

const buildRoutes = (version: number): RouteTable => buildRouteTable({
	version, routes: [], services: [], limits: {
		maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeout: 1, idleTimeout: 1,
	},
});

/** Follows the configurations of hosts that the test describes: their answers, the newest version that they report, and the addresses of those that report it. */
const createFollower = ({answers = [], reported, ahead = []}: {answers?: Array<Partial<NewerConfigurations>>; reported?: number; ahead?: string[]}) => {
	const clock = createManualClock();
	const queries: ConfigurationQuery[] = [];
	const logLines: string[] = [];
	const state: {version: number | undefined; reported: number | undefined; revision: number} = {version: undefined, reported, revision: 0};
	const follower = followConfiguration({
		view: {
			getRevision: () => state.revision,
			getRoutes: () => state.version === undefined ? undefined : buildRoutes(state.version),
			applyConfigurationEntry({value}) {
				state.version = Math.max(state.version ?? 0, Number(value));
			},
		},
		client: {
			async fetchNewer(query) {
				queries.push(query);
				await clock.sleep(10);
				return {
					asked: 2, answered: 0, entries: [], ...answers.shift(),
				};
			},
		},
		getAddresses: () => ['h1', 'h2'],
		getAddressesAhead: () => ahead,
		getNewestVersion: () => state.reported,
		clock,
		logger: createLogger('info', line => {
			logLines.push(line);
		}),
	});
	return {
		clock, queries, logLines, state, follower,
	};
};

const entry = (version: number) => ({key: 'c', value: String(version), revision: 1});

test('a host goes by its configuration once others have answered that they know no newer one', async () => {
	const {
		clock, queries, state, follower, logLines,
	} = createFollower({answers: [{answered: 1}]});
	await clock.advance(500);
	expect([follower.isConfirmed(), queries.length]).toEqual([false, 0]);
	Object.assign(state, {version: 6, revision: 1});
	await clock.advance(25);
	expect(follower.isConfirmed()).toBe(false);
	await clock.advance(10);
	expect(follower.isConfirmed()).toBe(true);
	expect(queries).toEqual([{version: 6, addresses: ['h1', 'h2'], count: 4}]);
	expect(logLines.join('')).toContain('event=configuration-confirmed version=6 before=6 asked=2 answered=1');
});

test('a host that starts takes over the newer configuration of another one', async () => {
	const {clock, state, follower} = createFollower({answers: [{answered: 2, entries: [entry(7), entry(8)]}]});
	Object.assign(state, {version: 6, revision: 1});
	await clock.advance(40);
	expect([follower.isConfirmed(), state.version]).toEqual([true, 8]);
});

// Guards against: a host never starts to serve while all others are gone.
test('a host whose others don\'t answer asks twice and then goes by what it has', async () => {
	const {
		clock, queries, state, follower,
	} = createFollower({});
	Object.assign(state, {version: 6, revision: 1});
	await clock.advance(60);
	expect([follower.isConfirmed(), queries.length]).toEqual([true, 2]);
});

test('a host reads the configuration of one that reports a newer one, until it has it', async () => {
	const {
		clock, queries, state, follower,
	} = createFollower({answers: [{answered: 1}, {answered: 0}, {answered: 1, entries: [entry(7)]}], ahead: ['h2']});
	Object.assign(state, {version: 6, revision: 1});
	await clock.advance(100);
	expect(follower.isBehind()).toBe(false);
	state.reported = 7;
	expect(follower.isBehind()).toBe(true);
	await clock.advance(400);
	expect([follower.isBehind(), state.version]).toEqual([false, 7]);
	expect(queries.slice(1)).toEqual(Array.from({length: 2}, () => ({version: 6, addresses: ['h2'], count: 1})));
	follower.stop();
});

// Guards against: a host that starts while the store holds no configuration serves nothing, although others know one.
test('a host that finds no configuration in the store reads that of another one', async () => {
	const {
		clock, queries, state, follower,
	} = createFollower({answers: [{answered: 2}, {answered: 1, entries: [entry(7)]}]});
	state.revision = 1;
	await clock.advance(100);
	expect(follower.isConfirmed()).toBe(false);
	await clock.advance(200);
	expect([follower.isConfirmed(), state.version, queries[0]?.version]).toEqual([true, 7, -1]);
});
