import {unknownCodings, writeRaw} from '@gentianlift/http/testing';
import {expect, onTestFinished, test} from 'vitest';
import {createStubHostStarter} from '../links/testing-stub-hosts.js';
import {waitForEnd} from '../testing.js';
import {createRawStarter, sendRawRequest} from '../testing-raw.js';

const start = createRawStarter(onTestFinished);
const startWithStubHosts = createStubHostStarter(onTestFinished);

const paths = ['/read/1', '/book/1', '/once/1', '/stream/1'];
const body = 'id: 1\ndata: 1\n\n';
const chunks = `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;

const getAnswer = (coding: string): string => `HTTP/1.1 200 OK\r\nSigned: 1\r\nTransfer-Encoding: ${coding}\r\n\r\n${chunks}`;

const getStatuses = async (port: number): Promise<string[]> => Promise.all(paths.map(async path => {
	const {status} = await sendRawRequest(port, {path, attempt: path});
	return status;
}));

// Guards against: a body in a coding that the router doesn't take off, or whose end it doesn't know, reaches a caller as the upstream's (issue 56).
test('an answer in another transfer coding than chunks is none', async () => {
	for (const coding of unknownCodings) {
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		const {host} = await start(socket => {
			socket.end(getAnswer(coding));
		});
		// eslint-disable-next-line no-await-in-loop -- As above.
		expect([coding, ...await getStatuses(host.port)]).toEqual([coding, ...paths.map(() => '502')]);
		// eslint-disable-next-line no-await-in-loop -- As above.
		expect(await waitForEnd(host, '/book/1')).toContain('lastFailure=coding-unknown');
		// eslint-disable-next-line no-await-in-loop -- As above.
		const {deployment} = await startWithStubHosts(({socket}) => {
			socket.end(getAnswer(coding));
		});
		// eslint-disable-next-line no-await-in-loop -- As above.
		expect([coding, ...await getStatuses(deployment.host.port)]).toEqual([coding, ...paths.map(() => '502')]);
	}
});

test('an answer in chunks is one, however their coding is written', async () => {
	for (const coding of ['chunked', 'Chunked', ' chunked ']) {
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		const {host} = await start(socket => {
			writeRaw(socket, getAnswer(coding));
		});
		// eslint-disable-next-line no-await-in-loop -- As above.
		expect([coding, ...await getStatuses(host.port)]).toEqual([coding, ...paths.map(() => '200')]);
	}
});
