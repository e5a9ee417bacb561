import {setTimeout as sleep} from 'node:timers/promises';
import {expect, onTestFinished, test} from 'vitest';
import {
	createHostStarter, sum, upstreamMark, type AnswerHandler,
} from '../test-deployment.js';
import {sendRequest, waitForEnd, type TestHost} from '../testing.js';

const start = createHostStarter(onTestFinished);
const events = 'id: 1\ndata: v1\n\nid: 2\ndata: v1\n\n';

/** Writes the two events of a stream, or those that its caller doesn't have; the first time for a request whose id begins with `b`, breaks off after the first. */
const createUpstream = (): AnswerHandler => {
	const broken = new Set<string>();
	return (request, response) => {
		const attempt = request.headers.attempt as string;
		response.writeHead(200, {...upstreamMark, 'content-type': 'text/event-stream', attempt});
		const after = Number(request.headers['last-event'] ?? 0);
		if (after > 0 || !attempt.startsWith('b') || broken.has(attempt)) {
			response.end(events.slice(after * events.length / 2));
			return;
		}

		broken.add(attempt);
		response.write(events.slice(0, events.length / 2), () => {
			setTimeout(() => {
				request.socket.resetAndDestroy();
			}, 20);
		});
	};
};

const send = async ({port}: TestHost, attempt: string) => sendRequest(port, {path: '/stream/1', headers: {attempt}});

/** Lets the store have answered a host at these times before now, in milliseconds, and not since. */
const setContacts = ({context: {view, clock}}: TestHost, ...ages: number[]): void => {
	for (const age of ages) {
		view.recordContact(true, clock.monotonic() - age);
	}
};

// Guards against: a stream that an upstream began after it has started again with another version, unseen in an outage of the store, goes on at the version of its old entry.
test('a stream that began in an outage of the store, at a process that may have started in it, is cut', async () => {
	const {host, counts} = await start(createUpstream(), createUpstream());
	setContacts(host, 10_000);
	expect(await send(host, 'b1')).toMatchObject({isComplete: false});
	expect(await waitForEnd(host, 'b1')).toContain('outcome=cut');
	expect(host.logLines.some(line => line.includes('event=resume-prevented request=b1') && line.includes('reason=version-uncertain'))).toBe(true);
	expect(sum(counts)).toBe(1);
});

test('a stream that began soon after an outage of the store, before the entry of a process that had started in it must have come, is cut', async () => {
	const {host, counts} = await start(createUpstream(), createUpstream());
	setContacts(host, 10_000, 500);
	expect(await send(host, 'b1')).toMatchObject({isComplete: false});
	expect(sum(counts)).toBe(1);
});

test('a stream that began long after an outage of the store goes on at another upstream', async () => {
	const {host} = await start(createUpstream(), createUpstream());
	setContacts(host, 10_000, 5000);
	setContacts(host, 2500, 0);
	expect(await send(host, 'b1')).toMatchObject({isComplete: true, body: events});
});

test('a stream that began in an outage of the store, at a process that has run since before it, goes on at another upstream', async () => {
	const {host, upstreams} = await start(createUpstream(), createUpstream());
	host.setUpstreams(upstreams.slice(0, 1));
	await send(host, 'a1');
	setContacts(host, 0);
	host.setUpstreams(upstreams);
	await sleep(3200);
	const answers = [];
	for (const attempt of ['b1', 'b2', 'b3', 'b4', 'b5', 'b6']) {
		// eslint-disable-next-line no-await-in-loop -- One request at a time, so that the connection is used again.
		answers.push(await send(host, attempt));
	}

	expect(answers.some(({isComplete, body}) => isComplete && body === events)).toBe(true);
}, 10_000);
