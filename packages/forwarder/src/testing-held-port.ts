import {once} from 'node:events';
import {connect} from 'node:net';
import {Worker} from 'node:worker_threads';
import {splitAddress, type Address} from '@gentianlift/types';

/** A port at which new connections hang: the system answers no attempt to open one. */
export type HeldPort = {
	/** Frees the port again. */
	release: () => Promise<void>;
};

const workerFile = new URL('../../../scripts/hold-port.js', import.meta.url);
/** Connections that fill the queue of a listener with a backlog of 1. */
const queuedConnections = 2;

/** Lets new connections to a free port hang until it is released. */
export const holdPort = async (address: Address): Promise<HeldPort> => {
	const {host, port} = splitAddress(address);
	const signal = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
	const worker = new Worker(workerFile, {workerData: {ip: host, port, signal}});
	const exit = once(worker, 'exit');
	await once(worker, 'message');
	const fillers = Array.from({length: queuedConnections}, () => connect({host, port}));
	for (const filler of fillers) {
		filler.on('error', () => undefined);
	}

	await Promise.all(fillers.map(async filler => once(filler, 'connect')));
	return {
		async release() {
			Atomics.store(signal, 0, 1);
			Atomics.notify(signal, 0);
			await exit;
			for (const filler of fillers) {
				filler.destroy();
			}
		},
	};
};
