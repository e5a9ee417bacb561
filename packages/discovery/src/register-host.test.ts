import {createManualClock, createRandom} from '@gentianlift/clock';
import {createSilentLogger} from '@gentianlift/logger';
import {createMemoryKeyValue} from '@gentianlift/platform';
import type {Milliseconds} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {getHostKey, parseHostRecord, type HostRecord} from './host-record.js';
import {registerHost} from './register-host.js';

/** Time in which the store's replies arrive. */
const latency: Milliseconds = 50;

/** Registers a host at a store whose calls take effect at once and whose replies are late. */
const createRegistration = () => {
	const clock = createManualClock();
	const store = createMemoryKeyValue({clock, random: createRandom(1)});
	store.setFaults({latency});
	const record: HostRecord = {
		host: 'h', incarnation: 1, zone: 'a', callers: '127.0.0.1:1', peers: '127.0.0.1:2', notes: '127.0.0.1:3', strength: 1, isStopping: false,
	};
	const registration = registerHost({
		store, record, clock, logger: createSilentLogger(),
	});
	const readRecord = () => parseHostRecord(store.peek(getHostKey('h'))?.value ?? '');
	return {
		clock, store, registration, readRecord,
	};
};

// Guards against: an address list that names a host which has ended, as its lease was granted only after its release.
test('a host that ends while its lease is being granted writes no record and keeps no lease', async () => {
	const {
		clock, store, registration, readRecord,
	} = createRegistration();
	await clock.advance(latency - 10);
	const ended = registration.end();
	await clock.advance(3 * latency);
	await ended;
	expect(readRecord()).toBeUndefined();
	expect(store.getAppliedWrites()).toEqual([]);
	expect(store.getCallCounts().leases).toBe(2);
});

// Guards against: the same, as the reply to the write of the record was lost.
test('a host that ends after a write of unknown outcome leaves no record', async () => {
	const {
		clock, store, registration, readRecord,
	} = createRegistration();
	store.injectWriteFaults('lost-reply', 'dropped');
	await clock.advance(4 * latency);
	expect(readRecord()).toBeDefined();
	const ended = registration.end();
	await clock.advance(2 * latency);
	await ended;
	expect(readRecord()).toBeUndefined();
});

// Guards against: a stopping host that the store names as available until its release, as its record was being written when the stop began.
test('a host that begins to stop while its record is being written is marked in it', async () => {
	const {
		clock, registration, readRecord,
	} = createRegistration();
	await clock.advance(latency + 10);
	expect(readRecord()).toMatchObject({isStopping: false});
	const marked = registration.markStopping();
	await clock.advance(4 * latency);
	await marked;
	expect(readRecord()).toMatchObject({isStopping: true});
});
