import {createServer, type AddressInfo} from 'node:net';
import {createManualClock, createSystemClock} from '@gentianlift/clock';
import {expect, onTestFinished, test} from 'vitest';
import {holdPort} from '../testing-held-port.js';
import {takeLoopback} from '../links/testing-loopback.js';
import {probeConnection} from './connection-probe.js';

const timeout = 400;

// Guards against: a host that was suspended takes its links for cut, as it has not noticed that its probes succeeded.
test('a connection that is established while the host is suspended counts, although the timeout of its probe has passed', async () => {
	const server = createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	onTestFinished(() => {
		server.close();
	});
	const clock = createManualClock();
	const result = probeConnection(`127.0.0.1:${(server.address() as AddressInfo).port}`, timeout, clock);
	clock.pause(10 * timeout);
	await clock.advance(0);
	expect(await result).toBe('established');
});

test('a connection that hangs ends the probe at its timeout', async () => {
	const address = `${takeLoopback()}:8001`;
	const held = await holdPort(address);
	onTestFinished(held.release);
	expect(await probeConnection(address, timeout, createSystemClock())).toBe('timeout');
});
