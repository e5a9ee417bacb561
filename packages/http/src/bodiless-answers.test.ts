import {request} from 'node:http';
import {splitAddress} from '@gentianlift/types';
import {expect, onTestFinished, test} from 'vitest';
import {startRawServer, writeRaw} from './testing.js';
import {checkAnswer} from './index.js';

/** Sends a request and returns what is found of the head and of the end of its answer. */
const check = async (method: string, answer: string) => {
	const server = await startRawServer(socket => {
		writeRaw(socket, answer);
	});
	onTestFinished(server.close);
	return new Promise(resolve => {
		const outgoing = request({...splitAddress(server.address), method, agent: false});
		const answerCheck = checkAnswer(outgoing);
		outgoing.once('response', message => {
			const head = answerCheck.getHeadFault(message);
			const findFaults = async (): Promise<void> => {
				resolve([head, answerCheck.isBodyMalformed(), await answerCheck.findEndFault()]);
			};

			message.resume().once('end', () => {
				void findFaults();
			});
		});
		outgoing.end();
	});
};

// Guards against: an answer that has no body is refused, as the chunks or the length that it names never come.
test.each([
	['HEAD', '200 OK', 'Transfer-Encoding: chunked\r\n'],
	['HEAD', '200 OK', 'Content-Length: 5\r\n'],
	['HEAD', '200 OK', ''],
	['GET', '304 X', 'Transfer-Encoding: chunked\r\n'],
	['GET', '304 X', 'Content-Length: 5\r\n'],
	['GET', '304 X', ''],
	['GET', '204 X', ''],
	['GET', '200 OK', 'Content-Length: 0\r\n'],
	['GET', '103 X\r\nLink: x\r\n\r\nHTTP/1.1 200 OK', 'Content-Length: 0\r\n'],
])('a sound answer without a body is whole: %s %j %j', async (method, status, fields) => {
	expect(await check(method, `HTTP/1.1 ${status}\r\n${fields}\r\n`)).toEqual([undefined, false, undefined]);
});
