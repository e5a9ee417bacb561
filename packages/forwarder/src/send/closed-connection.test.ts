import type {Server} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect, onTestFinished, test} from 'vitest';
import type {SendOutcome} from './send.js';
import {
	call, createSocketServerStarter, readAnswer, waitForClose,
} from './testing-send.js';
import {UpstreamAgent} from './upstream-agent.js';

const startUpstream = createSocketServerStarter(onTestFinished);

/** Longest wait for the answer to a request that is sent on a connection that may be dead, in milliseconds. */
const maxAnswerWait = 1000;

/** Starts a stub upstream that closes its first connection after the answer without announcing it. */
const startClosingUpstream = async (): Promise<Server> => startUpstream((socket, count) => {
	socket.write('HTTP/1.1 200 OK\r\nAttempt: a1\r\nContent-Length: 2\r\n\r\nok');
	if (count === 1) {
		socket.end();
	}
});

/** Returns the kind of a request's outcome, or `none` if there is none in time. */
const getOutcomeKind = async (outcome: Promise<SendOutcome>): Promise<SendOutcome['kind'] | 'none'> => Promise.race([
	outcome.then(({kind}) => kind),
	sleep(maxAnswerWait, 'none' as const),
]);

// Guards against: a waiting request is sent on a connection that the upstream has closed, and fails as one that may have executed.
test('a connection that was closed before its answer was read is not handed over to a waiting request', async () => {
	const server = await startClosingUpstream();
	const agent = new UpstreamAgent({maxSockets: 1});
	const first = await call(server, agent);
	const second = call(server, agent);
	await waitForClose();
	expect(await readAnswer(first)).toMatchObject({kind: 'whole'});
	expect(await getOutcomeKind(second)).toBe('answered');
});

// Guards against: as before, for a request that comes once the connection is idle.
test('a connection that was closed before its answer was read is not kept as an idle one', async () => {
	const server = await startClosingUpstream();
	const agent = new UpstreamAgent();
	const first = await call(server, agent);
	await waitForClose();
	expect(await readAnswer(first)).toMatchObject({kind: 'whole'});
	await waitForClose();
	expect(await getOutcomeKind(call(server, agent))).toBe('answered');
});
