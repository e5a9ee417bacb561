import {Agent, request} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {splitAddress, type Milliseconds} from '@gentianlift/types';
import {expect, onTestFinished, test} from 'vitest';
import {startLinkedFleet, type LinkedHost} from '../links/testing-partition.js';
import {answerOk, configuration} from '../test-deployment.js';
import {sendRequest} from '../testing.js';

const gracePeriod: Milliseconds = 8000;

/** An answer, or the error of a request without one. */
type Result = {status: number; headers: Record<string, unknown>; body: string} | string;

const startStoppableHost = async (): Promise<{host: LinkedHost; counts: number[]; send: (attempt: string) => Promise<Result>}> => {
	const {hosts: [host], counts} = await startLinkedFleet({
		hosts: 1, upstreams: [answerOk], configuration, gracePeriod, onFinished: onTestFinished,
	});
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	onTestFinished(() => {
		agent.destroy();
	});
	const send = async (attempt: string): Promise<Result> => new Promise(resolve => {
		const outgoing = request({
			...splitAddress(host!.callers), path: '/book/1', method: 'POST', agent, headers: {attempt, 'content-length': 0},
		}, message => {
			let body = '';
			message.on('data', (chunk: Uint8Array) => {
				body += String(chunk);
			});
			message.on('end', () => {
				resolve({status: message.statusCode ?? 0, headers: message.headers, body});
			});
		});
		outgoing.on('error', error => {
			resolve((error as Error & {code: string}).code);
		});
		outgoing.end();
	});
	return {host: host!, counts, send};
};

// Guards against: a request on a kept connection is passed on after its host has decided to end, and is lost with the process.
test('a request that comes on a kept connection after the end of admission is refused as not run', async () => {
	const {host, counts, send} = await startStoppableHost();
	expect(await send('before')).toMatchObject({status: 200});
	await host.host.stop();
	const answer = await send('after');
	expect(answer).toMatchObject({status: 503, headers: {connection: 'close', 'retry-after': '0.020'}});
	expect(answer).toMatchObject({body: expect.stringContaining('"ran":"not-run"') as string});
	expect(counts).toEqual([1]);
	expect(host.host.countOpenRequests()).toBe(0);
});

test('a host whose process is about to end takes no connection, and answers on those that it has', async () => {
	const {host, send} = await startStoppableHost();
	expect(await send('before')).toMatchObject({status: 200});
	await host.host.stop();
	host.host.closeListener();
	expect(await send('kept')).toMatchObject({status: 503});
	expect(await send('after')).toBe('ECONNREFUSED');
});

// Guards against: a call that another host forwards to an ending one is lost there, and answered as if nobody knew whether it ran.
test('a call that another host forwards after the end of admission is given back to it', async () => {
	const {hosts: [first, second], counts, setLinks} = await startLinkedFleet({
		hosts: 2, upstreams: [answerOk], configuration, gracePeriod, onFinished: onTestFinished,
	});
	setLinks([0], 'reset');
	await expect.poll(async () => {
		void sendRequest(first!.callers, {path: '/read/1', headers: {attempt: 'probe'}}).catch(() => undefined);
		return first!.logLines.some(line => line.includes('event=call-forwarded'));
	}, {timeout: 5000, interval: 200}).toBe(true);
	await second!.host.stop();
	await sleep(100);
	const runs = counts[0];
	const {status, body} = await sendRequest(first!.callers, {path: '/book/1', headers: {attempt: 'a1'}});
	expect(status).toBe(503);
	expect(body).toContain('"ran":"not-run"');
	expect(counts[0]).toBe(runs);
});
