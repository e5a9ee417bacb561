import {expect, test} from 'vitest';
import {createManualClock, createRandom} from '@gentianlift/clock';
import {createMemoryKeyValue} from './index.js';

const createService = () => {
	const clock = createManualClock();
	return {clock, keyValue: createMemoryKeyValue({clock, random: createRandom(1)})};
};

test('compare-and-swap rejects a stale revision', async () => {
	const {keyValue} = createService();
	expect(await keyValue.compareAndSwap({key: 'a', value: '1', expected: 0})).toEqual({kind: 'applied', revision: 1});
	expect(await keyValue.compareAndSwap({key: 'a', value: '2', expected: 0})).toEqual({kind: 'rejected', revision: 1});
});

test('a write whose reply is lost is applied at once, a late write after a delay', async () => {
	const {clock, keyValue} = createService();
	keyValue.injectWriteFaults('lost-reply', 'late', 'dropped');
	expect(await keyValue.compareAndSwap({key: 'a', value: '1', expected: 0})).toMatchObject({kind: 'unknown'});
	expect(keyValue.peek('a')?.value).toBe('1');
	await keyValue.compareAndSwap({key: 'a', value: '2', expected: 1});
	expect(keyValue.peek('a')?.value).toBe('1');
	await clock.advance(1000);
	expect(keyValue.peek('a')?.value).toBe('2');
});

test('an entry is removed when its lease expires', async () => {
	const {clock, keyValue} = createService();
	await keyValue.grantLease(100);
	await keyValue.compareAndSwap({
		key: 'a', value: '1', expected: 0, lease: 'lease-1',
	});
	await clock.advance(100);
	expect(await keyValue.read('a')).toEqual({kind: 'absent'});
	expect(await keyValue.renewLease('lease-1')).toEqual({kind: 'lost'});
});

test('a watch reports the change', async () => {
	const {keyValue} = createService();
	const watch = keyValue.watch('a', 0, 100);
	await keyValue.compareAndSwap({key: 'a', value: '1', expected: 0});
	expect(await watch).toMatchObject({kind: 'changed', entry: {revision: 1}});
});

test('an outage fails every call', async () => {
	const {keyValue} = createService();
	keyValue.setFaults({outage: true});
	expect(await keyValue.read('a')).toEqual({kind: 'unavailable', reason: 'outage'});
});
