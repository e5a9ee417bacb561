import {connect, createServer, type AddressInfo} from 'node:net';
import {malformedLines, unknownStatuses, writeRaw} from '@gentianlift/http/testing';
import {createSystemClock} from '@gentianlift/clock';
import {createMetrics} from '@gentianlift/metrics';
import {splitAddress, type Address, type PeerHandlers} from '@gentianlift/types';
import {expect, onTestFinished, test} from 'vitest';
import {createPeerCalls, startPeerServer} from './index.js';

const clock = createSystemClock();
const server: Address = '127.0.0.1:24821';
const timeout = 300;

let received = 0;
const reject = async (): Promise<never> => {
	throw new Error('not used');
};

const handlers: PeerHandlers = {
	exchangeGrants: reject, exchangeQuota: reject, claim: reject, settleClaim: reject, readConfiguration: reject, readAccount: reject, readPlacementFacts: reject,
	async pushGrants() {
		received += 1;
		return {received: true};
	},
};

/** Starts a relay to the host that changes the head with which it opens a connection. */
const startRelay = async (change: (head: string) => string): Promise<Address> => {
	const relay = createServer(caller => {
		const host = connect(splitAddress(server));
		let hasChanged = false;
		host.on('data', bytes => {
			const text = bytes.toString('latin1');
			writeRaw(caller, hasChanged ? text : change(text));
			hasChanged = true;
		});
		caller.on('data', bytes => {
			host.write(bytes);
		});
		for (const [socket, other] of [[caller, host], [host, caller]] as const) {
			socket.on('error', () => undefined);
			socket.on('close', () => {
				other.destroy();
			});
		}
	});
	await new Promise<void>(resolve => {
		relay.listen(0, '127.0.0.1', resolve);
	});
	onTestFinished(() => {
		relay.close();
	});
	return `127.0.0.1:${(relay.address() as AddressInfo).port}`;
};

/** Makes a call over a connection whose opening is changed; returns the kind of its outcome. */
const call = async (change: (head: string) => string): Promise<string> => {
	const address = await startRelay(change);
	const calls = createPeerCalls({
		self: 'a', keys: ['k'], getAddress: () => address, clock, metrics: createMetrics(), timeout,
	});
	onTestFinished(calls.close);
	const {kind} = await calls.pushGrants('b', {owner: true, group: 'g', decisions: []});
	return kind;
};

// Guards against: a host talks on a connection that was opened by an answer that isn't one (issue 56).
test('a connection to another host is opened by an answer of HTTP with status 101 only', async () => {
	const host = await startPeerServer({
		self: 'b', address: server, keys: ['k'], handlers, clock, metrics: createMetrics(),
	});
	onTestFinished(host.close);
	for (const status of [...unknownStatuses.filter(item => item !== '101'), '200', '204', '404']) {
		// eslint-disable-next-line no-await-in-loop -- One connection at a time.
		expect([status, await call(head => head.replace('101', status))]).toEqual([status, 'unreachable']);
	}

	for (const line of Object.values(malformedLines)) {
		// eslint-disable-next-line no-await-in-loop -- One connection at a time.
		expect([line, await call(head => head.replace('\r\n\r\n', `\r\n${line}\r\n\r\n`))]).toEqual([line, 'unreachable']);
	}

	expect(received).toBe(0);
	expect(await call(head => head.replace('\r\n\r\n', '\r\nX-A: sound\r\n\r\n'))).toBe('answered');
	expect(received).toBe(1);
});
