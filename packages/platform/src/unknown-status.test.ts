import {createSystemClock} from '@gentianlift/clock';
import {startRawServer, unknownStatuses, writeRaw} from '@gentianlift/http/testing';
import {expect, onTestFinished, test} from 'vitest';
import {createHostListClient} from './host-list-client.js';
import {createKeyValueClient} from './key-value-client.js';
import {createWeightStoreClient} from './weight-store-client.js';

/** Starts a service that answers with a status and a body. */
const startOptions = async (status: string, body: string) => {
	const server = await startRawServer(socket => {
		writeRaw(socket, `HTTP/1.1 ${status} X\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
	});
	onTestFinished(server.close);
	return {url: `http://${server.address}`, clock: createSystemClock(), timeout: 1000};
};

// Guards against: a lease counts as ended, or a write as applied, by a status that is none (issue 56).
test('a call that changes something is unknown after a status that is none', async () => {
	for (const status of [...unknownStatuses, '200']) {
		// eslint-disable-next-line no-await-in-loop -- One service at a time.
		const client = createKeyValueClient(await startOptions(status, '{"revision":1}'));
		onTestFinished(client.close);
		// eslint-disable-next-line no-await-in-loop -- As above.
		const outcomes = [await client.compareAndSwap({key: 'a', value: 'b', expected: 0}), await client.endLease('1')];
		const isSound = status === '200';
		expect([status, ...outcomes.map(({kind}) => kind)]).toEqual([status, isSound ? 'applied' : 'unknown', isSound ? 'lost' : 'unknown']);
	}
});

// Guards against: a list of hosts is taken from an answer that isn't one.
test('a list of hosts, or a rate, is not read from an answer whose status is none', async () => {
	for (const status of [...unknownStatuses, '200']) {
		// eslint-disable-next-line no-await-in-loop -- One service at a time.
		const hosts = createHostListClient(await startOptions(status, '{"hosts":[]}'));
		// eslint-disable-next-line no-await-in-loop -- As above.
		const weights = createWeightStoreClient(await startOptions(status, '{"bytesPerSecond":1,"bytesUnderWay":0}'));
		onTestFinished(hosts.close);
		onTestFinished(weights.close);
		// eslint-disable-next-line no-await-in-loop -- As above.
		const read = [await hosts.readHosts(), await weights.readBandwidth()];
		expect([status, ...read.map(value => value !== undefined)]).toEqual([status, status === '200', status === '200']);
	}
});

// Guards against: a lease counts as ended by an answer that doesn't say so.
test('a lease has ended if the service says so', async () => {
	for (const [status, expected] of [['200', 'lost'], ['404', 'lost'], ['302', 'unknown'], ['500', 'unknown'], ['503', 'unavailable']]) {
		// eslint-disable-next-line no-await-in-loop -- One service at a time.
		const client = createKeyValueClient(await startOptions(status!, ''));
		onTestFinished(client.close);
		// eslint-disable-next-line no-await-in-loop -- As above.
		const {kind} = await client.endLease('1');
		expect([status, kind]).toEqual([status, expected]);
	}
});
