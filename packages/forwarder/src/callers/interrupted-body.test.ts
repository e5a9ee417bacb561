import {connect} from 'node:net';
import {buildConfiguration, buildRoute} from '@gentianlift/routing/testing';
import {expect, onTestFinished, test} from 'vitest';
import {startTestHost} from '../testing.js';

const configuration = buildConfiguration({
	routes: [buildRoute({
		name: 'book', pathPrefix: '/book/', kind: 'non-idempotent', maxUpstreams: 1, timeout: 5000,
	})],
});
const callers = 5;
const bodyBytes = 30_000;

// Guards against: a request whose caller closes its side within the body is held for ever, with its room and its place, and a stopping host waits for it.
test('a request whose caller leaves within its body is let go of', async () => {
	const host = await startTestHost(configuration);
	onTestFinished(() => {
		host.close();
	});
	const sockets = Array.from({length: callers}, (_, caller) => {
		const socket = connect({host: '127.0.0.1', port: host.port});
		socket.resume();
		socket.write(`POST /book/1 HTTP/1.1\r\nHost: a\r\nAttempt: b${caller}\r\nContent-Length: ${bodyBytes}\r\n\r\nab`);
		return socket;
	});
	await expect.poll(() => host.context.bodies.countUnfinished()).toBe(callers);
	for (const socket of sockets) {
		socket.end();
	}

	await expect.poll(() => host.context.bodies.countUnfinished(), {timeout: 3000}).toBe(0);
	expect(host.context.bodies.getHeldBytes()).toBe(0);
});
