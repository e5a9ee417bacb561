import {createServer, type IncomingMessage, request} from 'node:http';
import type {AddressInfo} from 'node:net';
import {splitAddress} from '@gentianlift/types';
import {expect, onTestFinished, test} from 'vitest';
import {openLink, type Link} from './link.js';

const startLink = async (): Promise<{link: Link; getRequestCount: () => number}> => {
	let requestCount = 0;
	const server = createServer((_, response) => {
		requestCount += 1;
		response.end('ok');
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const link = await openLink('127.0.0.1', `127.0.0.1:${(server.address() as AddressInfo).port}`);
	onTestFinished(() => {
		link.close();
		server.close();
		server.closeAllConnections();
	});
	return {link, getRequestCount: () => requestCount};
};

const responseTimeout = 500;

const requestThrough = async ({address}: Link): Promise<string> => new Promise(resolve => {
	const outgoing = request({...splitAddress(address), agent: false});
	const timer = setTimeout(() => {
		resolve('silence');
		outgoing.destroy();
	}, responseTimeout);
	const finish = (text: string): void => {
		clearTimeout(timer);
		resolve(text);
	};

	outgoing.once('response', (message: IncomingMessage) => {
		message.resume();
		message.once('end', () => {
			finish(`status ${message.statusCode}`);
		});
	});
	outgoing.once('error', (error: Error & {code?: string}) => {
		finish(error.code ?? 'error');
	});
	outgoing.end();
});

test('an open link forwards requests', async () => {
	const {link} = await startLink();
	expect(await requestThrough(link)).toBe('status 200');
});

test('a delayed link delays both directions', async () => {
	const {link} = await startLink();
	link.setState({kind: 'delayed', delay: 100});
	const from = performance.now();
	expect(await requestThrough(link)).toBe('status 200');
	expect(performance.now() - from).toBeGreaterThan(190);
});

test('a link in state reset resets connections and forwards again once it is open', async () => {
	const {link, getRequestCount} = await startLink();
	link.setState({kind: 'reset'});
	expect(await requestThrough(link)).toBe('ECONNRESET');
	expect(getRequestCount()).toBe(0);
	link.setState({kind: 'open'});
	expect(await requestThrough(link)).toBe('status 200');
});

test('a silent link drops bytes in both directions, a one-way link those of the answer', async () => {
	const {link, getRequestCount} = await startLink();
	link.setState({kind: 'silent'});
	expect(await requestThrough(link)).toBe('silence');
	expect(getRequestCount()).toBe(0);
	link.setState({kind: 'one-way'});
	expect(await requestThrough(link)).toBe('silence');
	expect(getRequestCount()).toBe(1);
});
