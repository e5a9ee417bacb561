import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {splitAddress, type Address, type Milliseconds} from '@gentianlift/types';

/** Bodies that callers send at once, each on a connection of its own; `size` in bytes, as the head of the request says. */
export type OddBodies = {count: number; size: number; isWhole: boolean};

/** Shapes of odd bodies: some large ones, and many small ones that don't end. Each is within the limits on one request. */
export const oddBodies: readonly [OddBodies, ...OddBodies[]] = [
	{count: 100, size: 4_000_000, isWhole: true},
	{count: 100, size: 4_000_000, isWhole: false},
	{count: 500, size: 100_000, isWhole: false},
	{count: 2000, size: 20_000, isWhole: false},
];

/** Bytes that an unfinished body lacks. */
const missingBytes = 10;
/** Time after which a caller whose connection was closed sends its body again. */
const resendInterval: Milliseconds = 1000;
/** Connections that are opened at a time, and the time between two such groups. */
const connectionsAtOnce = 10;
const connectInterval: Milliseconds = 10;
/** Bytes that are written at a time, so that sending leaves time for what else the soak does. */
const chunkSize = 65_536;

/** Options of odd callers. */
export type OddCallersOptions = {
	/** Address on which a host listens for callers. */
	address: Address;
	bodies: OddBodies;
	/** Returns the head of a caller's request, with its end. */
	buildHead: (caller: number) => string;
};

/** Writes a body a chunk at a time, as fast as it is read. */
const writeChunks = (socket: Socket, body: Uint8Array, from = 0): void => {
	if (from < body.length && !socket.destroyed) {
		socket.write(body.subarray(from, from + chunkSize), () => {
			// A write that completes at once calls back before the event loop goes on.
			setImmediate(() => {
				writeChunks(socket, body, from + chunkSize);
			});
		});
	}
};

/** Starts callers that send odd bodies, and send them again when their connection is closed; returns a function that ends them. */
export const startOddCallers = ({address, bodies: {count, size, isWhole}, buildHead}: OddCallersOptions): () => void => {
	const body = Buffer.alloc(isWhole ? size : size - missingBytes, 'b');
	const sockets = new Set<Socket>();
	const timers = new Set<NodeJS.Timeout>();
	let isStopped = false;

	const runAfter = (delay: Milliseconds, action: () => void): void => {
		const timer = setTimeout(() => {
			timers.delete(timer);
			action();
		}, delay);
		timers.add(timer);
	};

	const send = (caller: number): void => {
		const socket = connect(splitAddress(address));
		sockets.add(socket);
		// The close that follows an error is what counts.
		socket.on('error', () => undefined);
		socket.once('close', () => {
			sockets.delete(socket);
			if (!isStopped) {
				runAfter(resendInterval, () => {
					send(caller);
				});
			}
		});
		socket.resume();
		socket.write(buildHead(caller));
		writeChunks(socket, body);
	};

	for (let caller = 0; caller < count; caller++) {
		runAfter(Math.floor(caller / connectionsAtOnce) * connectInterval, () => {
			send(caller);
		});
	}

	return () => {
		isStopped = true;
		for (const timer of timers) {
			clearTimeout(timer);
		}

		for (const socket of sockets) {
			socket.destroy();
		}
	};
};
