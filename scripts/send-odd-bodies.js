#!/usr/bin/env node
// Sends odd bodies to a host of the soak, in a process of its own, so that they don't delay the soak's other callers; ends with its standard input.
// Usage: send-odd-bodies.js OPTIONS; JSON with the host, port, count, size, isWhole, and the head of each request, in which {caller} stands for the caller's number.
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import process from 'node:process';

/** Bytes that an unfinished body lacks. */
const missingBytes = 10;
/** Time after which a caller whose connection was closed sends its body again, in milliseconds. */
const resendInterval = 1000;
/** Connections that are opened at a time, and the time between two such groups in milliseconds. */
const connectionsAtOnce = 20;
const connectInterval = 5;

const options = JSON.parse(process.argv[2]);
const {host, port, head} = options;
const {count, size, isWhole} = options;
const body = Buffer.alloc(isWhole ? size : size - missingBytes, 'b');

const send = caller => {
	const socket = connect(port, host);
	// The close that follows an error is what counts.
	socket.on('error', () => undefined);
	socket.once('close', () => {
		setTimeout(send, resendInterval, caller);
	});
	socket.resume();
	socket.write(head.replaceAll('{caller}', String(caller)));
	socket.write(body);
};

for (let caller = 0; caller < count; caller++) {
	setTimeout(send, Math.floor(caller / connectionsAtOnce) * connectInterval, caller);
}

process.stdin.resume();
process.stdin.once('end', () => {
	process.exit(0);
});
