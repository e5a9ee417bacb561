import {setTimeout as sleep} from 'node:timers/promises';
import {expect, onTestFinished, test} from 'vitest';
import {call, createSocketServerStarter} from './testing-send.js';
import {UpstreamAgent} from './upstream-agent.js';

const startUpstream = createSocketServerStarter(onTestFinished);

/** Longest time until waiting requests learn that their upstream was removed, in milliseconds. */
const maxNoticeTime = 500;

// Guards against: callers are held for an upstream that was removed, until its other answers end and free their connections.
test('requests that wait for a connection of a removed upstream end at once', async () => {
	let requests = 0;
	const server = await startUpstream((_socket, count) => {
		requests = count;
	});
	const agent = new UpstreamAgent({maxSockets: 1});
	const first = call(server, agent, 'a1');
	await expect.poll(() => requests).toBe(1);
	const waiting = Promise.all([call(server, agent, 'a2'), call(server, agent, 'a3')]);
	agent.retire();
	const removed = {kind: 'unsent', reason: 'upstream-removed'};
	expect(await Promise.race([waiting, sleep(maxNoticeTime)])).toEqual([removed, removed]);
	expect(await Promise.race([first.then(({kind}) => kind), sleep(0, 'in flight')])).toBe('in flight');
	expect(requests).toBe(1);
});
