import {createManualClock, createRandom} from '@gentianlift/clock';
import type {ParseResult} from '@gentianlift/config';
import {createMemoryKeyValue, noWriteFaults} from '@gentianlift/platform';
import type {Configuration, ConfigurationVersion} from '@gentianlift/types';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	currentVersionKey, publishConfiguration, readHistory, readVersion, updateHistory, type PublishOutcome,
} from './index.js';

const parse = (document: unknown): ParseResult<Configuration> =>
	document === 'bad' ? {kind: 'invalid', faults: []} : {kind: 'valid', value: document as Configuration};

const createService = (seed = 1) => {
	const clock = createManualClock();
	const service = createMemoryKeyValue({clock, random: createRandom(seed)});
	let sequence = 0;
	const publish = async (document: unknown, base: number, token = `token-${++sequence}`): Promise<PublishOutcome> =>
		publishConfiguration({clock, keyValue: service, parse}, {
			document, base, token, author: 'test', note: '',
		});
	const publishAndWait = async (document: unknown, base: number): Promise<PublishOutcome> => {
		const outcome = publish(document, base);
		await clock.advance(10_000);
		return outcome;
	};

	/** Publishes a first version, and a second on it while the outcome of the first is open. */
	const publishTwoVersions = async (): Promise<PublishOutcome[]> => {
		const first = publish('a', 0);
		await clock.advance(0);
		const second = publish('b', 1);
		await clock.advance(10_000);
		return Promise.all([first, second]);
	};

	const getAccepted = (): ConfigurationVersion[] => service.getAppliedWrites()
		.filter(({key}) => key === currentVersionKey)
		.map(({value}) => JSON.parse(value!) as ConfigurationVersion);
	return {
		clock, service, publish, publishAndWait, publishTwoVersions, getAccepted,
	};
};

test('accepts consecutive versions and keeps them in the history', async () => {
	const {service, publishAndWait} = createService();
	expect(await publishAndWait('a', 0)).toMatchObject({kind: 'applied', version: {version: 1}});
	expect(await publishAndWait('b', 1)).toMatchObject({kind: 'applied', version: {version: 2}});
	expect(await publishAndWait('b', 1)).toMatchObject({kind: 'unchanged', version: {version: 2}});
	const history = await readHistory(service, 10);
	expect(history.map(reading => reading.kind === 'found' && reading.stored.version.configuration)).toEqual(['b', 'a']);
	expect(await readVersion(service, 1)).toMatchObject({kind: 'found', stored: {version: {version: 1}}});
	expect(await readVersion(service, 7)).toEqual({kind: 'absent'});
});

test('rejects an invalid configuration without writing to the service', async () => {
	const {service, publishAndWait} = createService();
	expect(await publishAndWait('bad', 0)).toMatchObject({kind: 'invalid'});
	expect(service.getCallCounts().writes).toBe(0);
});

test('reports a conflict with the difference to another operator\'s version', async () => {
	const {publishAndWait} = createService();
	await publishAndWait({limit: 1}, 0);
	await publishAndWait({limit: 2}, 1);
	expect(await publishAndWait({limit: 3}, 1)).toMatchObject({kind: 'conflict', current: {version: 2}, changes: [{path: '$.limit', before: 2, after: 3}]});
	expect(await publishAndWait({limit: 3}, 9)).toMatchObject({kind: 'conflict'});
});

test('resolves a write whose reply was lost', async () => {
	const {service, publishAndWait, getAccepted} = createService();
	service.injectWriteFaults('lost-reply');
	expect(await publishAndWait('a', 0)).toMatchObject({kind: 'applied', version: {token: 'token-1'}});
	expect(getAccepted()).toHaveLength(1);
});

test('resolves a write that takes effect late', async () => {
	const {service, publishAndWait, getAccepted} = createService();
	service.injectWriteFaults('late');
	expect(await publishAndWait('a', 0)).toMatchObject({kind: 'applied'});
	expect(getAccepted()).toHaveLength(1);
});

test('finds its accepted write in the history after another operator published a newer version', async () => {
	const {service, publishTwoVersions, getAccepted} = createService();
	service.injectWriteFaults('lost-reply');
	expect(await publishTwoVersions()).toMatchObject([{kind: 'applied', version: {version: 1}}, {kind: 'applied', version: {version: 2}}]);
	expect(getAccepted().map(({configuration}) => configuration)).toEqual(['a', 'b']);
});

test('recognises its own write that was delivered twice', async () => {
	const {clock, service, publishTwoVersions} = createService();
	const {compareAndSwap} = service;
	service.compareAndSwap = async write => {
		await compareAndSwap(write);
		await clock.sleep(100);
		return compareAndSwap(write);
	};

	expect(await publishTwoVersions()).toMatchObject([{kind: 'applied', version: {version: 1}}, {kind: 'applied', version: {version: 2}}]);
});

test('distinguishes an unavailable service from an unknown outcome', async () => {
	const {service, publishAndWait} = createService();
	service.setFaults({outage: true});
	expect(await publishAndWait('a', 0)).toEqual({kind: 'unavailable', reason: 'outage'});
	service.setFaults({outage: false, probabilities: {...noWriteFaults, dropped: 1}});
	expect(await publishAndWait('a', 0)).toEqual({kind: 'unknown', token: 'token-2', reason: 'dropped'});
});

test('replaces a current version that is no longer valid', async () => {
	const {service, publishAndWait} = createService();
	const value = JSON.stringify({
		version: 4, token: 'x', author: '', acceptedAt: 0, note: '', configuration: 'bad',
	});
	await service.compareAndSwap({key: currentVersionKey, value, expected: 0});
	expect(await publishAndWait('a', 4)).toMatchObject({kind: 'applied', version: {version: 5}});
});

const createVersion = (version: number): ConfigurationVersion => ({
	version, token: `token ${version}`, author: '', acceptedAt: 0, note: '', configuration: 'a' as unknown as Configuration,
});

test('makes two sequential calls when the history already holds the base version', async () => {
	const {clock, service, publish, publishAndWait} = createService();
	const first = await publishAndWait('a', 0);
	await updateHistory(service, first.kind === 'applied' ? first.version : createVersion(0));
	service.setFaults({latency: 1000});
	const second = publish('b', 1);
	await clock.advance(2000);
	expect(service.peek(currentVersionKey)?.value).toContain('"b"');
	await clock.advance(1000);
	expect(await second).toMatchObject({kind: 'applied'});
});

test('removes versions that exceed the length of the history', async () => {
	const {service} = createService();
	await service.compareAndSwap({key: 'configuration/history/5', value: '', expected: 0});
	await updateHistory(service, createVersion(205));
	expect(service.peek('configuration/history/5')).toBeUndefined();
	expect(service.peek('configuration/history/205')).toBeDefined();
});

const chances = fc.record({
	'lost-reply': fc.constantFrom(0, 0.2), late: fc.constantFrom(0, 0.2, 0.5), dropped: fc.constantFrom(0, 0.2), refused: fc.constantFrom(0, 0.2),
});

test('reports an outcome to each operator that matches the accepted versions under faults', async () => {
	await fc.assert(fc.asyncProperty(fc.integer(), chances, fc.array(fc.tuple(fc.nat(3000), fc.nat(4)), {maxLength: 8}), async (seed, faults, schedule) => {
		const {clock, service, publish, getAccepted} = createService(seed);
		service.setFaults({probabilities: faults, maxLateDelay: 4000});
		const outcomes = new Map<string, Promise<PublishOutcome>>();
		for (const [index, [wait, baseChoice]] of schedule.entries()) {
			const newest = getAccepted().at(-1)?.version ?? 0;
			outcomes.set(`t${index}`, publish(`c${index}`, Math.max(0, newest - (baseChoice === 0 ? 1 : 0)), `t${index}`));
			// eslint-disable-next-line no-await-in-loop -- The operators start in sequence; their calls overlap.
			await clock.advance(wait);
		}

		await clock.advance(30_000);
		const accepted = getAccepted();
		expect(accepted.map(({version}) => version)).toEqual(accepted.map((_, index) => index + 1));
		for (const {version} of accepted.slice(0, -1)) {
			expect(service.peek(`configuration/history/${version}`)).toBeDefined();
		}

		for (const [token, outcome] of outcomes) {
			// eslint-disable-next-line no-await-in-loop -- All outcomes have settled.
			const {kind} = await outcome;
			const count = accepted.filter(version => version.token === token).length;
			expect(count).toBeLessThanOrEqual(1);
			if (kind !== 'unknown') {
				expect(count).toBe(kind === 'applied' ? 1 : 0);
			}
		}
	}), {seed: 11, numRuns: 200});
});
