import {expect, onTestFinished, test} from 'vitest';
import {answerOk, createHostStarter, type AnswerHandler} from './test-deployment.js';
import {sendRequest} from './testing.js';

const start = createHostStarter(onTestFinished);

/** Never answers. */
const hang: AnswerHandler = incoming => {
	incoming.resume();
};

// Guards against: a process ends over a call that an upstream runs, and no line of any host names the call.
test('a call has a line from when it is sent', async () => {
	const {host} = await start(hang);
	void sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}}).catch(() => undefined);
	await expect.poll(() => host.logLines.join('')).toMatch(/event=attempt-sent request=a1 route=book kind=\S+ upstream=\S+ attempt=1 age=\d+\n/v);
	expect(host.logLines.join('')).not.toContain('call-ended');
});

test('a call that is open as the process ends is named, with whether it was sent', async () => {
	const {host} = await start(hang);
	void sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}}).catch(() => undefined);
	await expect.poll(() => host.logLines.join('')).toContain('attempt-sent');
	host.forwarder.reportOpenCalls();
	expect(host.logLines.at(-1)).toMatch(/event=call-open request=a1 route=book kind=\S+ upstream=\S+ executions=0 sent=true answer=none age=\d+/v);
});

test('a call that has ended is not open', async () => {
	const {host} = await start(answerOk);
	await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}});
	await expect.poll(() => host.logLines.join('')).toContain('call-ended');
	host.forwarder.reportOpenCalls();
	expect(host.logLines.join('')).not.toContain('call-open');
});
