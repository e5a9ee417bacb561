import {request, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {expect, onTestFinished, test} from 'vitest';
import {
	answerOk, resetConnection, configuration, rejectUnexecuted, signed, createHostStarter, sum, type AnswerHandler,
} from './test-deployment.js';
import {sendRequest, startTestHost} from './testing.js';

const start = createHostStarter(onTestFinished);

test('an answer goes back as the upstream gave it', async () => {
	const {host} = await start(answerOk);
	expect(await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}, body: 'x'})).toMatchObject({
		status: 200, body: 'ok', isWhole: true, headers: {signed: '1', attempt: 'a1'},
	});
});

test('what was not run goes to another upstream, also a booking', async () => {
	const {host, counts} = await start(rejectUnexecuted, rejectUnexecuted, answerOk);
	const answer = await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}});
	expect(answer.status).toBe(200);
	expect(counts[2]).toBe(1);
});

test('a booking that may have run is not sent again, and its caller is not told that it has not run', async () => {
	const {host, counts} = await start(resetConnection, resetConnection);
	const answer = await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}});
	expect(answer.status).toBe(502);
	expect(sum(counts)).toBe(1);
});

/** An upstream that forgets connections that rested, and resets what comes on them. */
const createForgetful = (memory: number): AnswerHandler => {
	const restSince = new WeakMap<Socket, number>();
	return (call, response) => {
		const rested = performance.now() - (restSince.get(call.socket) ?? performance.now());
		if (rested > memory) {
			call.socket.resetAndDestroy();
			return;
		}

		response.once('close', () => {
			restSince.set(call.socket, performance.now());
		});
		answerOk(call, response);
	};
};

test('a booking is not sent on a connection that rested for long', async () => {
	const {host} = await start(createForgetful(300));
	for (const pause of [0, 400, 20, 600]) {
		// eslint-disable-next-line no-await-in-loop -- Each booking follows on the one before.
		await host.context.clock.sleep(pause);
		// eslint-disable-next-line no-await-in-loop -- As above.
		expect(await sendRequest(host.port, {path: '/book/1', headers: {attempt: `p${pause}`}})).toMatchObject({status: 200});
	}
});

test('an upstream that does not say that it has not run a booking is not quoted with 503', async () => {
	const {host} = await start((_, response) => {
		response.writeHead(503, signed);
		response.end();
	});
	expect(await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}})).toMatchObject({status: 502});
});

test('rejections by all upstreams are refused truly, with a time to come back', async () => {
	const {host} = await start(rejectUnexecuted, rejectUnexecuted);
	const answer = await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}});
	expect(answer).toMatchObject({status: 503, headers: {'retry-after': '0.500'}});
	expect(answer.body).toContain('"ran":"not-run"');
});

test('without upstreams a request is refused at once', async () => {
	const {host} = await start();
	expect(await sendRequest(host.port, {path: '/read/1'})).toMatchObject({status: 503});
});

test('an idempotent request that failed or broke runs on one more upstream, no more', async () => {
	const {host, counts} = await start(resetConnection, resetConnection, resetConnection);
	expect(await sendRequest(host.port, {path: '/read/1', method: 'GET'})).toMatchObject({status: 502});
	expect(sum(counts)).toBe(2);
});

test('an upstream that refuses connections costs no send', async () => {
	const {host} = await start(answerOk);
	const [sound] = host.context.view.getUpstreams('s');
	host.setUpstreams([{...sound!, id: 'gone', address: '127.0.0.1:1'}, {...sound!, id: 'gone2', address: '127.0.0.1:1'}, sound!]);
	for (let count = 0; count < 5; count++) {
		// eslint-disable-next-line no-await-in-loop -- One after the other.
		expect(await sendRequest(host.port, {path: '/book/1', headers: {attempt: `a${count}`}})).toMatchObject({status: 200});
	}
});

test('an upstream that is leaving gets nothing', async () => {
	const {host, counts} = await start(answerOk, answerOk);
	const [one, other] = host.context.view.getUpstreams('s');
	host.setUpstreams([{...one!, isLeaving: true}, other!]);
	for (let count = 0; count < 6; count++) {
		// eslint-disable-next-line no-await-in-loop -- One after the other.
		await sendRequest(host.port, {path: '/read/1'});
	}

	expect(Math.min(...counts)).toBe(0);
});

test('a request that reaches its time limit gets its final answer then', async () => {
	const {host} = await start(() => undefined);
	const startedAt = performance.now();
	const answer = await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1', patience: '200'}});
	expect(answer.status).toBe(504);
	expect(performance.now() - startedAt).toBeLessThan(1400);
});

test('the time handed on is what is left', async () => {
	let handed = Number.NaN;
	const {host} = await start((request, response) => {
		handed = Number(request.headers.patience);
		answerOk(request, response);
	});
	await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1', patience: '700'}});
	expect(handed).toBeLessThanOrEqual(700);
	expect(handed).toBeGreaterThan(0);
});

const writeEvents = (response: ServerResponse, from: number, to: number): void => {
	for (let id = from; id <= to; id++) {
		response.write(`id: ${id}\ndata: ${id}\n\n`);
	}
};

const stream = {...signed, 'content-type': 'text/event-stream'};

/** Breaks off in the middle of event 3, and goes on after the last event that the caller has. */
const breakMidway: AnswerHandler = (request, response) => {
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

test('a resumable stream goes on at another upstream without a gap or repeat', async () => {
	const {host, counts} = await start(breakMidway, breakMidway);
	const answer = await sendRequest(host.port, {path: '/stream/1', headers: {attempt: 'a1'}});
	expect(answer).toMatchObject({status: 200, body: eventsUpTo(5), isWhole: true});
	expect(sum(counts)).toBe(2);
});

test('a stream that may not be resumed is cut so that it looks cut', async () => {
	const {host, counts} = await start(breakMidway, breakMidway);
	const answer = await sendRequest(host.port, {path: '/once/1', headers: {attempt: 'a1'}});
	expect(answer).toMatchObject({status: 200, isWhole: false});
	expect(sum(counts)).toBe(1);
});

test('a continuation that lacks an event is cut', async () => {
	const {host} = await start((request, response) => {
		response.writeHead(200, stream);
		writeEvents(response, 1, 1);
		writeEvents(response, 3, 4);
		response.end();
	});
	expect(await sendRequest(host.port, {path: '/stream/1', headers: {attempt: 'a1'}})).toMatchObject({body: eventsUpTo(1), isWhole: false});
});

test('a caller that leaves ends its stream at the upstream', async () => {
	let isClosed = false;
	const {host} = await start((received, response) => {
		response.writeHead(200, stream);
		response.write('id: 1\ndata: 1\n\n');
		received.socket.once('close', () => {
			isClosed = true;
		});
	});
	await new Promise<void>(resolve => {
		const leaving = request({
			port: host.port, host: '127.0.0.1', path: '/once/1', method: 'POST', headers: {attempt: 'a1'},
		}, message => {
			message.once('data', () => {
				leaving.destroy();
				resolve();
			});
			message.on('error', () => undefined);
		});
		leaving.on('error', () => undefined);
		leaving.end();
	});
	await expect.poll(() => isClosed, {timeout: 1000}).toBe(true);
});

test('an unknown path is refused only after a look at the newest state', async () => {
	let looks = 0;
	const host = await startTestHost(configuration, async () => {
		looks += 1;
		return undefined;
	});
	onTestFinished(host.close);
	expect(await sendRequest(host.port, {path: '/nowhere/1'})).toMatchObject({status: 404});
	expect(looks).toBe(1);
});

test('a host that stops closes connections with its answers and sends late callers elsewhere', async () => {
	const {host} = await start(answerOk);
	host.setStopping(true);
	expect(await sendRequest(host.port, {path: '/read/1'})).toMatchObject({status: 503, headers: {connection: 'close', 'retry-after': '0.020'}});
});

test('each call leaves a line with its id, what decided it and its outcome', async () => {
	const {host} = await start(rejectUnexecuted, answerOk);
	await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a77'}});
	const lines = host.logLines.filter(line => line.includes('request=a77'));
	expect(lines.at(-1)).toMatch(/event=call-ended .*route=book .*version=1 .*outcome=delivered/v);
});

test('the load of upstreams is given back', async () => {
	const {host} = await start(answerOk);
	await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}});
	await expect.poll(() => host.loads.getTotal('u0@1').running).toBe(0);
});
