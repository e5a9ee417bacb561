import {setImmediate} from 'node:timers/promises';
import {expect, onTestFinished, test} from 'vitest';
import {createHostStarter, upstreamMark} from '../test-deployment.js';
import {sendRequest, type TestHost} from '../testing.js';

const start = createHostStarter(onTestFinished);

/** Resolves once a host has the head of an upstream's answer and awaits the rest. */
const waitForHead = async ({context: {links}}: TestHost): Promise<void> => {
	await new Promise<void>(resolve => {
		links.recordContact = () => {
			resolve();
		};
	});
	await setImmediate();
};

// Guards against: a caller that goes on to use a connection of a host which ends, as it got an answer without "Connection: close" after the stop had begun.
test.each([
	['an answer', '/book/1', 'text/plain', 'ok'],
	['a stream', '/stream/1', 'text/event-stream', 'id: 1\ndata: x\n\n'],
])('%s of which the head came before a stop and the rest after it closes its connection', async (_, path, type, body) => {
	const {host} = await start((request, response) => {
		response.writeHead(200, {...upstreamMark, 'content-type': type, attempt: request.headers.attempt ?? ''});
		response.flushHeaders();
		void waitForHead(host).then(() => {
			host.setStopping(true);
			response.end(body);
		});
	});
	const answer = await sendRequest(host.port, {path, headers: {connection: 'keep-alive', attempt: 'a1'}});
	expect(answer).toMatchObject({status: 200, body, headers: {connection: 'close'}});
});
