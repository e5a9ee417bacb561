import {expect, test} from 'vitest';
import {createManualClock, createRandom} from '@gentianlift/clock';
import {createMetrics} from '@gentianlift/metrics';
import {createMemoryKeyValue} from '@gentianlift/platform';
import type {KeyValueService} from '@gentianlift/types';
import {createClaimOwner, createClaimRemoval, claimLimits} from '../index.js';

const start = Date.UTC(2026, 0, 1);
const hour = 3_600_000;
const limits = {...claimLimits, bucketDuration: hour / 6};
const key = `${start.toString(16).padStart(12, '0').slice(0, 8)}-${start.toString(16).padStart(12, '0').slice(8)}-7000-8000-000000000001`;
const request = {
	key: {customer: 'kopi', key}, digest: 'd', request: 'a.1.1', host: 'a', incarnation: 1,
};

const createHosts = () => {
	const clock = createManualClock(start);
	const slowClock = {...clock, now: () => clock.now() - (26 * hour)};
	const keyValue = createMemoryKeyValue({clock, random: createRandom(1)});
	const shared = {
		random: createRandom(2), metrics: createMetrics(), keyValue, limits,
	};
	return {
		clock,
		keyValue,
		owner: createClaimOwner({...shared, clock}),
		slow: createClaimOwner({...shared, clock: slowClock}),
		removal: createClaimRemoval({
			...shared, clock, self: 'a', getOwner: () => 'a',
		}),
	};
};

const getSlots = async (keyValue: KeyValueService): Promise<number> => {
	const list = await keyValue.list('claims/t/');
	return list.kind === 'found' ? list.entries.length : -1;
};

test('removes old buckets and nothing else', async () => {
	const {clock, keyValue, owner, removal} = createHosts();
	await removal.remove();
	await owner.claim('a', request);
	removal.start();
	await clock.advance(limits.retention);
	expect(await getSlots(keyValue)).toBe(1);
	await clock.advance(2 * hour);
	expect(await getSlots(keyValue)).toBe(0);
});

test('a claim that was removed never starts anew, even by a slow clock', async () => {
	const {clock, keyValue, owner, slow, removal} = createHosts();
	await removal.remove();
	expect(await owner.claim('a', request)).toMatchObject({kind: 'start'});
	removal.start();
	await clock.advance(26 * hour);
	expect(await getSlots(keyValue)).toBe(0);
	expect(await owner.claim('b', {...request, request: 'b.1.1'})).toEqual({kind: 'expired'});
	expect(await slow.claim('b', {...request, request: 'b.1.2'})).toEqual({kind: 'expired'});
	await clock.advance(limits.writeInterval);
	expect(await slow.claim('b', {...request, request: 'b.1.3'})).toEqual({kind: 'expired'});
	await clock.advance(limits.writeInterval);
	expect(await getSlots(keyValue)).toBe(0);
});
