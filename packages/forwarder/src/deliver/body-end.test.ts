import {expect, onTestFinished, test} from 'vitest';
import {createHostStarter} from '../test-deployment.js';
import {sendRequest, waitForEnd} from '../testing.js';
import {answerRaw, type RawAnswer} from './testing-answers.js';

const start = createHostStarter(onTestFinished);

const event = 'id: 1\ndata: 1\n\n';
const partialEvent = 'id: 2\nda';

/** Returns the line that a host logs at the end of a request with the answer. */
const getEndLine = async (path: string, answer: Pick<RawAnswer, 'framing' | 'body' | 'ending'>): Promise<string> => {
	const {host} = await start(answerRaw({...answer, contentType: path === '/read/1' ? 'application/json' : 'text/event-stream'}));
	await sendRequest(host.port, {path, headers: {attempt: 'a1'}});
	return waitForEnd(host, 'a1');
};

test('the framing and the ending of a stream are logged, and what follows its last event', async () => {
	const whole = await getEndLine('/once/1', {framing: 'chunks', body: event, ending: 'framed'});
	expect(whole).toMatch(/framing=chunks ending=framed partialBytes=0 /v);
	const closedAfterEvent = await getEndLine('/once/1', {framing: 'close', body: event, ending: 'closed'});
	expect(closedAfterEvent).toMatch(/framing=close ending=closed partialBytes=0 /v);
	const closedInsideEvent = await getEndLine('/once/1', {framing: 'close', body: event + partialEvent, ending: 'closed'});
	expect(closedInsideEvent).toMatch(/framing=close ending=closed partialBytes=8 /v);
	const reset = await getEndLine('/once/1', {framing: 'close', body: event, ending: 'reset'});
	expect(reset).toMatch(/framing=close ending=reset partialBytes=0 /v);
	const lost = await getEndLine('/once/1', {framing: 'chunks', body: event, ending: 'closed'});
	expect(lost).toMatch(/framing=chunks ending=lost partialBytes=0 /v);
});

test('the framing and the ending of a buffered answer are logged', async () => {
	const whole = await getEndLine('/read/1', {framing: 'length', body: '{}', ending: 'framed'});
	expect(whole).toMatch(/framing=length ending=framed sends/v);
	const closed = await getEndLine('/read/1', {framing: 'close', body: '{}', ending: 'closed'});
	expect(closed).toMatch(/framing=close ending=closed sends/v);
	const lost = await getEndLine('/read/1', {framing: 'length', body: '{}', ending: 'closed'});
	expect(lost).toMatch(/framing=length ending=lost sends/v);
});
