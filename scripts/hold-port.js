// Worker that listens on a port and accepts no connection, so that new connections hang once its short queue is full.
// `workerData`: `ip`, `port`, and `signal`, an `Int32Array` on shared memory; the worker ends once its first item isn't 0.
import {createServer} from 'node:net';
import process from 'node:process';
import {parentPort, workerData} from 'node:worker_threads';

const {ip, port, signal} = workerData;
const server = createServer();
await new Promise(resolve => {
	server.listen({host: ip, port, backlog: 1}, resolve);
});
parentPort.postMessage('listening');
// Blocks the event loop, which would accept connections.
Atomics.wait(signal, 0, 0);
process.exit();
