import {expect, test} from 'vitest';
import {createUdpTransport} from './udp-transport.js';

const address = '127.77.3.1:17946';

test('delivers a datagram, and sends nothing once stopped', async () => {
	const receiver = createUdpTransport(address);
	const sender = createUdpTransport('127.0.0.1:0');
	await sender.start(() => undefined);
	const arrived = new Promise<Uint8Array>(resolve => {
		void receiver.start(resolve);
	});
	sender.send(address, new Uint8Array([1, 2, 3]));
	expect([...await arrived]).toEqual([1, 2, 3]);
	sender.stop();
	sender.send(address, new Uint8Array([4]));
	receiver.stop();
});
