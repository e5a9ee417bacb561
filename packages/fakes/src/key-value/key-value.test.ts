import {expect, test} from 'vitest';
import {createManualClock} from '@gentianlift/clock';
import {createFakeKeyValue, createStore} from './index.js';

test('compare-and-swap rejects a stale revision', () => {
	const store = createStore(createManualClock());
	const first = store.write('a', {value: '1', expected: 0});
	expect(first.applied).toBe(true);
	expect(store.write('a', {value: '2', expected: 0})).toEqual({applied: false, revision: first.revision});
	expect(store.write('a', {value: '2', expected: first.revision}).applied).toBe(true);
});

test('an expired lease removes its entries and notifies watches', async () => {
	const clock = createManualClock();
	const store = createStore(clock);
	const lease = store.grantLease(100);
	const {revision} = store.write('a', {value: '1', expected: 0, lease: lease.id});
	const notifiedValues: unknown[] = [];
	store.watch({
		key: 'a', after: revision, notify(entry) {
			notifiedValues.push(entry?.value);
		},
	});
	await clock.advance(200);
	expect([store.read('a'), store.renewLease(lease.id), notifiedValues]).toEqual([undefined, undefined, ['']]);
});

test('a write whose reply is lost is applied, one whose request is lost is not', async () => {
	const keyValue = await createFakeKeyValue();
	const write = async (key: string) => fetch(`${keyValue.listener.url}/v1/kv/${key}`, {
		method: 'PUT', body: JSON.stringify({value: 'x', expected: 0}),
	});
	keyValue.faults.loseReplies = 1;
	await expect(write('a')).rejects.toThrow();
	keyValue.faults.loseRequests = 1;
	await expect(write('b')).rejects.toThrow();
	expect([keyValue.store.read('a')?.value, keyValue.store.read('b')]).toEqual(['x', undefined]);
	await keyValue.close();
});

test('rejects calls beyond the rate limit', async () => {
	const keyValue = await createFakeKeyValue({readsPerSecond: 1, clock: {...createManualClock(), sleep: async () => undefined}});
	const read = async () => fetch(`${keyValue.listener.url}/v1/kv/a`).then(({status}) => status);
	expect([await read(), await read()]).toEqual([404, 429]);
	await keyValue.close();
});

test('a watch answers with the change, or 204 at its time limit', async () => {
	const keyValue = await createFakeKeyValue();
	const watch = async (limit: number) => fetch(`${keyValue.listener.url}/v1/watch/a?after=0&limit=${limit}`);
	const unchanged = await watch(1);
	expect(unchanged.status).toBe(204);
	const pending = watch(60_000);
	await expect.poll(() => keyValue.store.countWatches()).toBe(1);
	keyValue.store.write('a', {value: '1', expected: 0});
	const changed = await pending;
	expect(await changed.json()).toMatchObject({key: 'a', value: '1'});
	await keyValue.close();
});
