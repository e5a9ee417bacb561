import {Buffer} from 'node:buffer';
import {expect, onTestFinished, test} from 'vitest';
import {call, createSocketServerStarter, readAnswer} from '../send/testing-send.js';
import {UpstreamAgent} from '../send/upstream-agent.js';

const startUpstream = createSocketServerStarter(onTestFinished);

/** Time that the upstream needs for the second request, in milliseconds. */
const answerDelay = 50;

const buildAnswer = (status: string, id: string | undefined, body: string): string =>
	`HTTP/1.1 ${status}\r\n${id === undefined ? '' : `Attempt: ${id}\r\n`}Content-Length: ${body.length}\r\n\r\n${body}`;

/** Sends two requests on one connection, on which a second answer follows the first one late; returns the second outcome and its body. */
const sendBeforeLateAnswer = async (lateAnswer: string) => {
	const server = await startUpstream((socket, count) => {
		if (count === 1) {
			socket.write(buildAnswer('200 OK', 'a1', 'first'));
			return;
		}

		// The second request has taken the connection over.
		socket.write(lateAnswer);
		setTimeout(() => {
			socket.write(buildAnswer('200 OK', 'a2', 'own'));
		}, answerDelay);
	});
	const agent = new UpstreamAgent({maxSockets: 1});
	const first = call(server, agent, 'a1');
	const second = call(server, agent, 'a2');
	expect(await readAnswer(await first)).toMatchObject({kind: 'whole'});
	const {kind} = await second;
	const body = await readAnswer(await second);
	return {kind, text: body?.kind === 'whole' ? Buffer.from(body.bytes).toString() : undefined};
};

// Guards against: a late second answer reaches the caller whose request has taken the connection over.
test('a late answer with the id of another request is not accepted', async () => {
	expect(await sendBeforeLateAnswer(buildAnswer('200 OK', 'a1', 'late'))).toMatchObject({kind: 'broken'});
});

// Guards against: as before, with a late answer that names no request although the first one did.
test('a late answer without an id is not accepted', async () => {
	expect(await sendBeforeLateAnswer(buildAnswer('200 OK', undefined, 'late'))).not.toMatchObject({text: 'late'});
});

// Guards against: a booking is sent again while it executes, because a late answer without an id said that a request was not executed.
test('a late rejection without an id does not count as that of the next request', async () => {
	expect(await sendBeforeLateAnswer(buildAnswer('421 Misdirected Request', undefined, ''))).not.toMatchObject({kind: 'rejected'});
});

// Guards against: a booking is sent again while it executes, because an earlier rejection was written once more, with no answer that names its request.
test('a rejection that is written once more does not count as that of the next request', async () => {
	const rejection = buildAnswer('421 Misdirected Request', undefined, '');
	const server = await startUpstream((socket, count) => {
		setTimeout(() => {
			socket.write(count === 1 ? rejection : buildAnswer('200 OK', undefined, 'own'));
		}, count === 1 ? 0 : answerDelay);
		if (count === 1) {
			setTimeout(() => {
				socket.write(rejection);
			}, answerDelay / 2);
		}
	});
	const agent = new UpstreamAgent({maxSockets: 1});
	const first = call(server, agent, 'a1');
	const second = call(server, agent, 'a2');
	expect(await first).toMatchObject({kind: 'rejected'});
	const body = await readAnswer(await second);
	expect(body?.kind === 'whole' ? Buffer.from(body.bytes).toString() : undefined).toBe('own');
});
