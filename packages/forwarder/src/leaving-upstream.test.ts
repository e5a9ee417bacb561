import {setTimeout as sleep} from 'node:timers/promises';
import {expect, onTestFinished, test} from 'vitest';
import {createHostStarter, type AnswerHandler} from './test-deployment.js';
import {sendRequest} from './testing.js';

const start = createHostStarter(onTestFinished);

/** Size of a fleet in which a host's connection pool for an upstream has four connections. */
const hostCount = 75;
const connectionCount = 4;
/** Longest time until a waiting call learns that its upstream is leaving, in milliseconds; less than the route's timeout. */
const maxNoticeTime = 500;

const holdRequest: AnswerHandler = () => undefined;

// Guards against: a call is held for an upstream that is leaving, until another answer ends and frees its connection.
test('a call that waits for a connection of a leaving upstream is refused at once', async () => {
	const {host, counts} = await start(holdRequest);
	host.context.countHosts = () => hostCount;
	const send = async (id: string) => sendRequest(host.port, {path: `/once/${id}`, headers: {attempt: id}});
	const held = Promise.allSettled(Array.from({length: connectionCount}, async (_, index) => send(`a${index}`)));
	await expect.poll(() => counts[0]).toBe(connectionCount);
	const waiting = send('waiting').then(({status}) => status);
	await expect.poll(() => host.loads.getTotalLoad('u0@1').running).toBe(connectionCount + 1);
	host.setUpstreams(host.context.view.getUpstreams('s').map(upstream => ({...upstream, isLeaving: true})));
	expect(await Promise.race([waiting, sleep(maxNoticeTime, 'held')])).toBe(503);
	await held;
});
