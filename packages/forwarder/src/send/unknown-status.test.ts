import {unknownStatuses, writeRaw, type RawHandler} from '@gentianlift/http/testing';
import {getUpstreamKey} from '@gentianlift/routing';
import {buildUpstream} from '@gentianlift/routing/testing';
import {expect, onTestFinished, test} from 'vitest';
import {createStubHostStarter} from '../links/testing-stub-hosts.js';
import {wholeStream, writeEvents} from '../deliver/testing-streams.js';
import {waitForEnd} from '../testing.js';
import {createRawStarter, sendRawRequest} from '../testing-raw.js';

const start = createRawStarter(onTestFinished);
const startWithStubHosts = createStubHostStarter(onTestFinished);

const paths = ['/read/1', '/book/1', '/once/1', '/stream/1'];

/** Returns an answer with a status, fields and a body that is marked as the upstream's; its status is sound if it is 200 or 503. */
const getAnswer = (status: string, fields: string, body = '{"a":1}'): string =>
	`HTTP/1.1 ${status} X\r\nSigned: 1\r\n${fields}Content-Length: ${body.length}\r\n\r\n${body}`;

const json = 'Content-Type: application/json\r\n';

/** Sends a request on each path; returns the statuses that callers got, with what they got of the upstream's answer. */
const sendToAll = async (port: number) => Promise.all(paths.map(async path => {
	const {status, text} = await sendRawRequest(port, {path, attempt: 'a1'});
	return `${status}${text.includes('"a":1') ? ' passed on' : ''}`;
}));

const refused = paths.map(() => '502');
const passedOn = paths.map(() => '200 passed on');

test('an answer with a status that is none reaches no caller, and one with a sound status does', async () => {
	for (const status of [...unknownStatuses, '200']) {
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		const {host} = await start(socket => {
			writeRaw(socket, getAnswer(status, json));
		});
		// eslint-disable-next-line no-await-in-loop -- As above.
		expect([status, ...await sendToAll(host.port)]).toEqual([status, ...(status === '200' ? passedOn : refused)]);
	}
});

test('an answer that switches the protocol reaches no caller', async () => {
	const {host} = await start(socket => {
		writeRaw(socket, getAnswer('101', 'Connection: upgrade\r\nUpgrade: x\r\n'));
	});
	expect(await sendToAll(host.port)).toEqual(refused);
	expect(await waitForEnd(host, 'a1')).toContain(' lastFailure=closed ');
});

test('an answer with a status that is none reaches no caller over another host', async () => {
	for (const status of [...unknownStatuses, '200']) {
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		const {deployment: {host}} = await startWithStubHosts(({socket}) => {
			writeRaw(socket, getAnswer(status, json));
		});
		// eslint-disable-next-line no-await-in-loop -- As above.
		expect([status, ...await sendToAll(host.port)]).toEqual([status, ...(status === '200' ? passedOn : refused)]);
	}
});

// Guards against: a booking is sent again after an answer that isn't one, as that states that the booking wasn't run (issue 56).
test('an answer whose status is none says nothing of whether a booking ran', async () => {
	for (const status of [...unknownStatuses, '503']) {
		const answerUnexecuted: RawHandler = socket => {
			writeRaw(socket, getAnswer(status, 'Not-Run: 1\r\n'));
		};

		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		const {host, upstreams} = await start(answerUnexecuted, answerUnexecuted);
		// eslint-disable-next-line no-await-in-loop -- As above.
		const answer = await sendRawRequest(host.port, {path: '/book/1', attempt: 'a1'});
		const sent = upstreams.flatMap(({getRequests}) => getRequests()).length;
		// eslint-disable-next-line no-await-in-loop -- As above.
		const end = await waitForEnd(host, 'a1');
		const isSound = status === '503';
		expect([status, answer.status, sent > 1, end.includes('lastFailure=status-invalid')]).toEqual([status, isSound ? '503' : '502', isSound, !isSound]);
	}
});

// Guards against: as above, for a host that could not take a forwarded booking.
test('another host\'s answer whose status is none says nothing of whether a booking ran', async () => {
	for (const status of unknownStatuses) {
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		const {deployment: {host}, received} = await startWithStubHosts(({socket}) => {
			writeRaw(socket, getAnswer(status, 'Not-Run: 1\r\n'));
		}, ({socket}) => {
			writeRaw(socket, getAnswer('200', json));
		});
		// eslint-disable-next-line no-await-in-loop -- As above.
		const answer = await sendRawRequest(host.port, {path: '/book/1', attempt: 'a1'});
		expect([status, answer.status, received]).toEqual([status, '502', ['h0']]);
	}
});

// Guards against: an upstream gets nothing more for what an answer that isn't one says of it.
test('an answer whose status is none says nothing of its upstream', async () => {
	for (const status of [...unknownStatuses, '200']) {
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		const {host} = await start(socket => {
			writeRaw(socket, getAnswer(status, `${json}Leaving: 1\r\n`));
		});
		// eslint-disable-next-line no-await-in-loop -- As above.
		await sendRawRequest(host.port, {path: '/once/1', attempt: 'a1'});
		expect([status, host.context.view.isUsable(getUpstreamKey(buildUpstream({id: 'u0'})))]).toEqual([status, status !== '200']);
	}
});

const streamFields = 'Content-Type: text/event-stream\r\n';
const resetDelay = 20;

test('a stream goes on at a third upstream when the second one\'s status is none', async () => {
	for (const status of unknownStatuses) {
		let takeUps = 0;
		const answerStream: RawHandler = (socket, request) => {
			const after = Number(/\r\nlast-event: (?<id>\d+)/iv.exec(request)?.groups?.id ?? 0);
			if (after === 0) {
				writeRaw(socket, `HTTP/1.1 200 OK\r\nSigned: 1\r\n${streamFields}\r\n${writeEvents(1, 2)}`);
				setTimeout(() => {
					socket.resetAndDestroy();
				}, resetDelay);
				return;
			}

			takeUps += 1;
			writeRaw(socket, takeUps === 1 ? getAnswer(status, streamFields, writeEvents(3, 4, 'odd')) : getAnswer('200', streamFields, writeEvents(3, 4)));
		};

		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		const {host} = await start(answerStream, answerStream, answerStream);
		// eslint-disable-next-line no-await-in-loop -- As above.
		const {text} = await sendRawRequest(host.port, {path: '/thrice/1', attempt: 'a1'});
		const events = text.slice(text.indexOf('\r\n\r\n') + 4).replaceAll(/(?:^|\r\n)[\da-f]+\r\n/gv, '').trimEnd();
		expect([status, takeUps, `${events}\n\n`]).toEqual([status, 2, wholeStream]);
	}
});

test('a stream that its caller resumes is not answered with a status that is none', async () => {
	for (const status of [...unknownStatuses, '200']) {
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		const {host} = await start(socket => {
			writeRaw(socket, getAnswer(status, streamFields, writeEvents(3, 4)));
		});
		host.context.streamOrigins.add({request: 'a0', service: 's', softwareVersion: 'v1'}, host.context.clock.monotonic());
		// eslint-disable-next-line no-await-in-loop -- As above.
		const answer = await sendRawRequest(host.port, {path: '/stream/1', attempt: 'a1', fields: 'Last-Event: 2\r\nResumes: a0\r\n'});
		expect([status, answer.status, answer.text.includes('id: 3')]).toEqual([status, status === '200' ? '200' : '502', status === '200']);
	}
});
