import {expect, test} from 'vitest';
import {createManualClock, createRandom} from '@gentianlift/clock';
import {createMetrics} from '@gentianlift/metrics';
import {createMemoryKeyValue} from '@gentianlift/platform';
import type {KeyValueService} from '@gentianlift/types';
import {createClaimStore, createClaimRemoval, claimLimits} from '../index.js';

const start = Date.UTC(2026, 0, 1);
const hour = 3_600_000;
const limits = {...claimLimits, bucketDuration: hour / 6};
const key = `${start.toString(16).padStart(12, '0').slice(0, 8)}-${start.toString(16).padStart(12, '0').slice(8)}-7000-8000-000000000001`;
const request = {
	key: {customer: 'kopi', key}, digest: 'd', request: 'a.1.1', host: 'a', incarnation: 1,
};

const createHosts = () => {
	const clock = createManualClock(start);
	const laggingClock = {...clock, now: () => clock.now() - (26 * hour)};
	const keyValue = createMemoryKeyValue({clock, random: createRandom(1)});
	const shared = {
		random: createRandom(2), metrics: createMetrics(), keyValue, limits,
	};
	return {
		clock,
		keyValue,
		owner: createClaimStore({...shared, clock}),
		laggingOwner: createClaimStore({...shared, clock: laggingClock}),
		removal: createClaimRemoval({
			...shared, clock, self: 'a', getOwner: () => 'a',
		}),
	};
};

const countSlots = async (keyValue: KeyValueService): Promise<number> => {
	const list = await keyValue.list('claims/t/');
	return list.kind === 'found' ? list.entries.length : -1;
};

test('removes a bucket only once it is past the retention', async () => {
	const {clock, keyValue, owner, removal} = createHosts();
	await removal.remove();
	await owner.claim('a', request);
	removal.start();
	await clock.advance(limits.retention);
	expect(await countSlots(keyValue)).toBe(1);
	await clock.advance(2 * hour);
	expect(await countSlots(keyValue)).toBe(0);
});

test('a request whose claim was removed never starts again, even on a host whose clock is behind', async () => {
	const {clock, keyValue, owner, laggingOwner, removal} = createHosts();
	await removal.remove();
	expect(await owner.claim('a', request)).toMatchObject({kind: 'start'});
	removal.start();
	await clock.advance(26 * hour);
	expect(await countSlots(keyValue)).toBe(0);
	expect(await owner.claim('b', {...request, request: 'b.1.1'})).toEqual({kind: 'expired'});
	expect(await laggingOwner.claim('b', {...request, request: 'b.1.2'})).toEqual({kind: 'expired'});
	await clock.advance(limits.minWriteInterval);
	expect(await laggingOwner.claim('b', {...request, request: 'b.1.3'})).toEqual({kind: 'expired'});
	await clock.advance(limits.minWriteInterval);
	expect(await countSlots(keyValue)).toBe(0);
});
