import type {SuspectedCrash} from '@gentianlift/routing';
import {expect, onTestFinished, test} from 'vitest';
import {getFingerprint, type Call} from '../call.js';
import {
	answerOk, rejectUnexecuted, upstreamMark, createHostStarter, sum,
} from '../test-deployment.js';
import {sendRequest} from '../testing.js';

const start = createHostStarter(onTestFinished);

const getCrashes = (suspect: string): SuspectedCrash[] =>
	['x@1', 'y@1', 'z@1'].map(upstream => ({suspect, upstream, age: 0}));

test('copies of a request that crashed three upstreams are refused, other requests are not', async () => {
	const {host, counts} = await start(answerOk);
	const call = {
		method: 'POST', target: '/book/1', head: {key: undefined}, body: new Uint8Array(),
	};
	for (const crash of getCrashes(getFingerprint(call as unknown as Call))) {
		host.context.suspects.addCrash(crash, performance.now());
	}

	expect(await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}})).toMatchObject({status: 500});
	expect(sum(counts)).toBe(0);
	expect(await sendRequest(host.port, {path: '/book/2', headers: {attempt: 'a2'}})).toMatchObject({status: 200});
});

test('a suspected request that runs to its end is cleared', async () => {
	const {host} = await start(answerOk);
	const call = {
		method: 'POST', target: '/book/1', head: {key: undefined}, body: new Uint8Array(),
	};
	const [crash] = getCrashes(getFingerprint(call as unknown as Call));
	host.context.suspects.addCrash(crash!, performance.now());
	expect(host.context.suspects.isSuspected(crash!.suspect, performance.now())).toBe(true);
	await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}});
	await expect.poll(() => host.context.suspects.isSuspected(crash!.suspect, performance.now())).toBe(false);
});

test('retries stop when the retry budget is exhausted', async () => {
	const {host, counts} = await start(rejectUnexecuted, rejectUnexecuted);
	host.context.retryLimit.minimum = 0;
	host.context.retryLimit.ratio = 0;
	expect(await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}})).toMatchObject({status: 503});
	expect(sum(counts)).toBe(1);
});

test('an upstream that answers before it has received a long body still receives the rest', async () => {
	const received: number[] = [];
	const {host} = await start((request, response) => {
		let length = 0;
		response.writeHead(400, upstreamMark);
		response.end('no');
		request.on('data', (chunk: Uint8Array) => {
			length += chunk.length;
		});
		request.on('end', () => {
			received.push(length);
		});
	});
	const body = 'x'.repeat(900_000);
	expect(await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}, body})).toMatchObject({status: 400, body: 'no'});
	expect(await sendRequest(host.port, {path: '/book/2', headers: {attempt: 'a2'}, body: 'y'})).toMatchObject({status: 400});
	await expect.poll(() => received.toSorted((one, other) => one - other)).toEqual([1, 900_000]);
});

test('a body over the limit is refused', async () => {
	const {host, counts} = await start(answerOk);
	expect(await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}, body: 'x'.repeat(1_100_000)})).toMatchObject({status: 413});
	expect(sum(counts)).toBe(0);
});
