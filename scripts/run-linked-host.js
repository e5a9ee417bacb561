#!/usr/bin/env node
// Runs a host of the soak, which connects to a link of its own in place of each upstream's address, and ends when the soak has ended in any way.
// Usage: run-linked-host.js NETWORK FIRST_UPSTREAM COUNT FIRST_LINK PROGRAM [ARGUMENT...]; octets of addresses in NETWORK (three octets).
import {Socket} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {pathToFileURL} from 'node:url';

const [node, , network, firstUpstream, count, firstLink, program, ...programArguments] = process.argv;

/** Returns the address of the host's own link to an upstream; any other address is returned unchanged. */
const translate = host => {
	const index = host.startsWith(`${network}.`) ? Number(host.split('.').at(-1)) - Number(firstUpstream) : -1;
	return index >= 0 && index < Number(count) ? `${network}.${Number(firstLink) + index}` : host;
};

const {connect} = Socket.prototype;
Socket.prototype.connect = function (...connectArguments) {
	// `net.connect` passes a list whose first item has the options.
	const [first] = connectArguments;
	const options = Array.isArray(first) ? first[0] : first;
	if (typeof options === 'object' && typeof options.host === 'string') {
		options.host = translate(options.host);
	}

	return connect.apply(this, connectArguments);
};

/** Interval at which the host checks whether the soak still runs, in milliseconds. */
const parentCheckInterval = 500;
const parent = process.ppid;
const timer = setInterval(() => {
	if (process.ppid !== parent) {
		process.kill(process.pid, 'SIGKILL');
	}
}, parentCheckInterval);
timer.unref();

process.argv = [node, program, ...programArguments];
await import(pathToFileURL(path.resolve(program)).href);
