import {request, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {expect, onTestFinished, test} from 'vitest';
import {
	answerOk, resetConnection, configuration, rejectUnexecuted, upstreamMark, createHostStarter, sum, type AnswerHandler,
} from './test-deployment.js';
import {sendRequest, startTestHost} from './testing.js';

const start = createHostStarter(onTestFinished);

test('an answer is delivered as the upstream sent it', async () => {
	const {host} = await start(answerOk);
	expect(await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}, body: 'x'})).toMatchObject({
		status: 200, body: 'ok', isComplete: true, headers: {signed: '1', attempt: 'a1'},
	});
});

test('a request that was not executed is retried on another upstream, even if it is not idempotent', async () => {
	const {host, counts} = await start(rejectUnexecuted, rejectUnexecuted, answerOk);
	const answer = await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}});
	expect(answer.status).toBe(200);
	expect(counts[2]).toBe(1);
});

test('a non-idempotent request that may have executed is not retried, and its caller is not told that it has not executed', async () => {
	const {host, counts} = await start(resetConnection, resetConnection);
	const answer = await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}});
	expect(answer.status).toBe(502);
	expect(sum(counts)).toBe(1);
});

/** Creates an upstream that drops connections after an idle timeout without closing them, and resets them on the next request. */
const createIdleDropper = (idleTimeout: number): AnswerHandler => {
	const idleSince = new WeakMap<Socket, number>();
	return (call, response) => {
		const idleTime = performance.now() - (idleSince.get(call.socket) ?? performance.now());
		if (idleTime > idleTimeout) {
			call.socket.resetAndDestroy();
			return;
		}

		response.once('close', () => {
			idleSince.set(call.socket, performance.now());
		});
		answerOk(call, response);
	};
};

test('a non-idempotent request is not sent on a connection that was idle for long', async () => {
	const {host} = await start(createIdleDropper(300));
	for (const idleTime of [0, 400, 20, 600]) {
		// eslint-disable-next-line no-await-in-loop -- Each request may reuse the connection of the one before.
		await host.context.clock.sleep(idleTime);
		// eslint-disable-next-line no-await-in-loop -- As above.
		expect(await sendRequest(host.port, {path: '/book/1', headers: {attempt: `p${idleTime}`}})).toMatchObject({status: 200});
	}
});

test('a 503 without a statement that a non-idempotent request was not executed becomes a 502', async () => {
	const {host} = await start((_, response) => {
		response.writeHead(503, upstreamMark);
		response.end();
	});
	expect(await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}})).toMatchObject({status: 502});
});

test('a request that all upstreams reject is answered as not executed, with a Retry-After', async () => {
	const {host} = await start(rejectUnexecuted, rejectUnexecuted);
	const answer = await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}});
	expect(answer).toMatchObject({status: 503, headers: {'retry-after': '0.500'}});
	expect(answer.body).toContain('"ran":"not-run"');
});

test('without upstreams a request is refused at once', async () => {
	const {host} = await start();
	expect(await sendRequest(host.port, {path: '/read/1'})).toMatchObject({status: 503});
});

test('an idempotent request whose connection breaks is retried on one more upstream at most', async () => {
	const {host, counts} = await start(resetConnection, resetConnection, resetConnection);
	expect(await sendRequest(host.port, {path: '/read/1', method: 'GET'})).toMatchObject({status: 502});
	expect(sum(counts)).toBe(2);
});

test('upstreams that refuse connections do not use up the attempts of a request', async () => {
	const {host} = await start(answerOk);
	const [healthy] = host.context.view.getUpstreams('s');
	host.setUpstreams([{...healthy!, id: 'gone', address: '127.0.0.1:1'}, {...healthy!, id: 'gone2', address: '127.0.0.1:1'}, healthy!]);
	for (let count = 0; count < 5; count++) {
		// eslint-disable-next-line no-await-in-loop -- Requests are sent one at a time.
		expect(await sendRequest(host.port, {path: '/book/1', headers: {attempt: `a${count}`}})).toMatchObject({status: 200});
	}
});

test('a leaving upstream gets no requests', async () => {
	const {host, counts} = await start(answerOk, answerOk);
	const [one, other] = host.context.view.getUpstreams('s');
	host.setUpstreams([{...one!, isLeaving: true}, other!]);
	for (let count = 0; count < 6; count++) {
		// eslint-disable-next-line no-await-in-loop -- Requests are sent one at a time.
		await sendRequest(host.port, {path: '/read/1'});
	}

	expect(Math.min(...counts)).toBe(0);
});

test('a request that reaches its deadline is answered with a timeout', async () => {
	const {host} = await start(() => undefined);
	const startedAt = performance.now();
	const answer = await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1', timeout: '200'}});
	expect(answer.status).toBe(504);
	expect(performance.now() - startedAt).toBeLessThan(1400);
});

test('an upstream receives the remaining time', async () => {
	let remainingTime = Number.NaN;
	const {host} = await start((request, response) => {
		remainingTime = Number(request.headers.timeout);
		answerOk(request, response);
	});
	await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1', timeout: '700'}});
	expect(remainingTime).toBeLessThanOrEqual(700);
	expect(remainingTime).toBeGreaterThan(0);
});

const writeEvents = (response: ServerResponse, from: number, to: number): void => {
	for (let id = from; id <= to; id++) {
		response.write(`id: ${id}\ndata: ${id}\n\n`);
	}
};

const stream = {...upstreamMark, 'content-type': 'text/event-stream'};

/** Resets the connection in the middle of event 3; a resumed stream continues after the last event that the caller has. */
const resetMidway: AnswerHandler = (request, response) => {
	const last = request.headers['last-event'];
	response.writeHead(200, stream);
	if (last === undefined) {
		writeEvents(response, 1, 2);
		response.write('id: 3\nda', () => {
			setTimeout(() => {
				request.socket.resetAndDestroy();
			}, 20);
		});
	} else {
		writeEvents(response, Number(last) + 1, 5);
		response.end();
	}
};

const eventsUpTo = (last: number): string => Array.from({length: last}, (_, index) => `id: ${index + 1}\ndata: ${index + 1}\n\n`).join('');

test('a resumable stream is continued by another upstream without gaps or repeats', async () => {
	const {host, counts} = await start(resetMidway, resetMidway);
	const answer = await sendRequest(host.port, {path: '/stream/1', headers: {attempt: 'a1'}});
	expect(answer).toMatchObject({status: 200, body: eventsUpTo(5), isComplete: true});
	expect(sum(counts)).toBe(2);
});

test('a stream that may not be resumed ends visibly incomplete when its upstream fails', async () => {
	const {host, counts} = await start(resetMidway, resetMidway);
	const answer = await sendRequest(host.port, {path: '/once/1', headers: {attempt: 'a1'}});
	expect(answer).toMatchObject({status: 200, isComplete: false});
	expect(sum(counts)).toBe(1);
});

test('a stream that lacks an event is cut off before the gap', async () => {
	const {host} = await start((request, response) => {
		response.writeHead(200, stream);
		writeEvents(response, 1, 1);
		writeEvents(response, 3, 4);
		response.end();
	});
	expect(await sendRequest(host.port, {path: '/stream/1', headers: {attempt: 'a1'}})).toMatchObject({body: eventsUpTo(1), isComplete: false});
});

test('a caller that disconnects cancels its stream at the upstream', async () => {
	let isClosed = false;
	const {host} = await start((received, response) => {
		response.writeHead(200, stream);
		response.write('id: 1\ndata: 1\n\n');
		received.socket.once('close', () => {
			isClosed = true;
		});
	});
	await new Promise<void>(resolve => {
		const outgoing = request({
			port: host.port, host: '127.0.0.1', path: '/once/1', method: 'POST', headers: {attempt: 'a1'},
		}, message => {
			message.once('data', () => {
				outgoing.destroy();
				resolve();
			});
			message.on('error', () => undefined);
		});
		outgoing.on('error', () => undefined);
		outgoing.end();
	});
	await expect.poll(() => isClosed, {timeout: 1000}).toBe(true);
});

test('an unknown path is refused only after one refresh of the state', async () => {
	let refreshes = 0;
	const host = await startTestHost(configuration, async () => {
		refreshes += 1;
		host.context.view.recordContact(true, host.context.clock.monotonic());
	});
	onTestFinished(host.close);
	host.context.reportExchange.getShortestSilence = () => Number.POSITIVE_INFINITY;
	expect(await sendRequest(host.port, {path: '/nowhere/1'})).toMatchObject({status: 404});
	expect(refreshes).toBe(1);
});

// Guards against: a host that nobody confirms refuses for good by a configuration that may have been replaced.
test('an unknown path is refused as not run, to be sent again, by a host that neither the store nor another host confirms', async () => {
	let refreshes = 0;
	const host = await startTestHost(configuration, async () => {
		refreshes += 1;
	});
	onTestFinished(host.close);
	host.context.reportExchange.getShortestSilence = () => Number.POSITIVE_INFINITY;
	expect(await sendRequest(host.port, {path: '/nowhere/1'})).toMatchObject({status: 503});
	expect(refreshes).toBe(1);
});

test('a stopping host refuses late requests with a Retry-After and closes their connections', async () => {
	const {host} = await start(answerOk);
	host.setStopping(true);
	expect(await sendRequest(host.port, {path: '/read/1'})).toMatchObject({status: 503, headers: {connection: 'close', 'retry-after': '0.020'}});
});

test('each call is logged with its id, route, configuration version and outcome', async () => {
	const {host} = await start(rejectUnexecuted, answerOk);
	await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a77'}});
	const lines = host.logLines.filter(line => line.includes('request=a77'));
	expect(lines.at(-1)).toMatch(/event=call-ended .*route=book .*version=1 .*outcome=delivered/v);
});

test('the load of an upstream returns to zero after its request has ended', async () => {
	const {host} = await start(answerOk);
	await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}});
	await expect.poll(() => host.loads.getTotalLoad('u0@1').running).toBe(0);
});
