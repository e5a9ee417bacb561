import {createSocket} from 'node:dgram';
import {splitAddress, type Address} from '@gentianlift/types';
import type {Transport} from './transport.js';

const ignoreError = (): void => undefined;

/** Creates a UDP transport that listens on an address. */
export const createUdpTransport = (address: Address): Transport => {
	const {host, port} = splitAddress(address);
	const socket = createSocket(host.includes(':') ? 'udp6' : 'udp4');
	let pendingSends = 0;
	let isStopping = false;

	const finishSend = (): void => {
		pendingSends--;
		if (isStopping && pendingSends === 0) {
			socket.close();
		}
	};

	return {
		start: async onDatagram => new Promise((resolve, reject) => {
			socket.once('error', reject);
			socket.bind(port, host, () => {
				socket.off('error', reject);
				socket.on('error', ignoreError);
				resolve();
			});
			socket.on('message', onDatagram);
		}),
		send(to, bytes) {
			if (isStopping) {
				return;
			}

			const target = splitAddress(to);
			// A send error is ignored: the protocol handles it like a lost datagram.
			pendingSends++;
			socket.send(bytes, target.port, target.host, finishSend);
		},
		stop() {
			isStopping = true;
			if (pendingSends === 0) {
				socket.close();
			}
		},
	};
};
