import {setTimeout as sleep} from 'node:timers/promises';
import {expect, onTestFinished, test} from 'vitest';
import type {Milliseconds} from '@gentianlift/types';
import {answerOk, configuration, type AnswerHandler} from '../test-deployment.js';
import type {TestAnswer} from '../testing.js';
import {
	createStream, getServedRatio, sendToHosts, startLinkedFleet, type LinkedFleet,
} from './testing-partition.js';
import type {HostLinkState} from './testing-link.js';

/** Time after which the users judge how partitioned hosts serve, and the part of what the others serve that they ask for. */
const stableTime = 3000;
const servedPart = 2 / 3;

const partitionedHosts = [0, 1, 2, 3];
const otherHosts = [4, 5, 6];
const paths = ['/read/1', '/book/1', '/stream/1'];

const start = async (upstreams: readonly AnswerHandler[] = Array.from({length: 5}, () => answerOk)): Promise<LinkedFleet> => startLinkedFleet({
	hosts: 7, upstreams, configuration, onFinished: onTestFinished,
});

/** Sends requests to all hosts for a time. */
const sendFor = async (fleet: LinkedFleet, duration: Milliseconds, name: string): Promise<TestAnswer[][]> => sendToHosts(fleet, {
	interval: 10, duration, paths, name,
});

// Guards against: a host whose links to all upstreams are cut fails its callers, while other hosts reach the same upstreams.
for (const state of ['reset', 'silent', 'established', 'hanging'] as const satisfies HostLinkState[]) {
	test(`hosts that are partitioned from all upstreams serve their callers: ${state}`, async () => {
		const fleet = await start();
		await sendFor(fleet, 500, 'before');
		fleet.setLinks(partitionedHosts, state);
		await sendFor(fleet, stableTime, 'early');
		const answers = await sendFor(fleet, 3000, 'judged');
		expect(getServedRatio(answers, otherHosts)).toBeGreaterThan(0.9);
		expect(getServedRatio(answers, partitionedHosts)).toBeGreaterThanOrEqual(servedPart * getServedRatio(answers, otherHosts));
		fleet.setLinks(partitionedHosts, 'open');
		await sleep(stableTime);
		expect(getServedRatio(await sendFor(fleet, 1000, 'after'), partitionedHosts)).toBeGreaterThan(0.9);
	});
}

// Guards against: a cut link is taken for a crash, and sound requests are blocked for it at all hosts.
test('a host whose links are reset reports no crash', async () => {
	const fleet = await start(Array.from({length: 5}, () => createStream(8, 100)));
	const answers = sendFor(fleet, 1000, 'cut');
	await sleep(500);
	fleet.setLinks(partitionedHosts, 'reset');
	await answers;
	const isAboutCrash = (line: string): boolean => /event=(?:upstream-crashed|crash-told)/v.test(line);
	expect(fleet.hosts.flatMap(({logLines}) => logLines).filter(line => isAboutCrash(line))).toEqual([]);
});
