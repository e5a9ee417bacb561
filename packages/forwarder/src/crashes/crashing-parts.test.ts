import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect, onTestFinished, test} from 'vitest';
import {getPartSuspect, noRankTokens} from '@gentianlift/routing';
import {getFingerprint, type Call} from '../call.js';
import {
	createHostStarter, resetConnection, sum, upstreamMark, type AnswerHandler,
} from '../test-deployment.js';
import {waitForEnd} from '../testing.js';
import {requestParts, startCrashingEngines, type CrashingEngines} from './testing-crashes.js';

const start = createHostStarter(onTestFinished);

/** Most requests with a part that crashes engines which may reach engines: those of the fifth crash, and three more. */
const maxGuiltyRequests = 5 + 3;
const crashingParts = new Set(['bad']);

/** Builds what the fingerprint of a request depends on. */
const buildCopy = (target: string, body: string): Call => ({
	method: 'POST', target, head: {key: undefined}, body: Buffer.from(body),
} as unknown as Call);

/** Sends requests that share the part that crashes engines, each after a sound one, no two alike. */
const sendMixed = async (deployment: CrashingEngines, count: number): Promise<void> => {
	for (let index = 0; index < count; index++) {
		// eslint-disable-next-line no-await-in-loop -- One request at a time.
		await requestParts(deployment, `sound-${index}`, ['first', `document-${index}`, `own-${index}`]);
		// eslint-disable-next-line no-await-in-loop -- One request at a time.
		await requestParts(deployment, `guilty-${index}`, ['first', 'bad', `own-guilty-${index}`]);
	}
};

// Guards against: requests that share the part which crashes engines, but are never alike, crash one engine after the other.
test('requests that share a part which crashes engines soon reach none', async () => {
	const deployment = await startCrashingEngines(start, {engines: 16, crashingParts});
	await sendMixed(deployment, 16);
	expect(deployment.countCrashes()).toBeLessThanOrEqual(maxGuiltyRequests);
	const received = sum(deployment.counts);
	expect(await requestParts(deployment, 'last', ['first', 'document', 'own'])).toMatchObject({status: 200, isComplete: true});
	expect(sum(deployment.counts)).toBe(received + 1);
});

// Guards against: the first bytes of an answer, or an end that is none, clear the part that crashes engines a moment later.
test('bytes that came before a crash do not clear the part that caused it', async () => {
	for (const modes of [['after-first-event'], ['before-answer', 'after-unframed-event']] as const) {
		// eslint-disable-next-line no-await-in-loop -- One deployment at a time.
		const deployment = await startCrashingEngines(start, {engines: 16, crashingParts, modes});
		// eslint-disable-next-line no-await-in-loop -- One deployment at a time.
		await sendMixed(deployment, 16);
		expect(deployment.countCrashes()).toBeLessThanOrEqual(maxGuiltyRequests);
	}
});

// Guards against: the part that all requests begin with, or one that is a request's own, pays for another.
test('the parts that come with the guilty one are served, also one that was a request\'s own', async () => {
	const deployment = await startCrashingEngines(start, {engines: 16, crashingParts});
	await sendMixed(deployment, 16);
	const {host: {context: {suspects, clock}}} = deployment;
	expect(suspects.isBlocked(getPartSuspect('bad'), clock.monotonic())).toBe(true);
	for (const parts of [['first', 'own'], ['first', 'own-guilty-0', 'own'], ['bad']]) {
		// eslint-disable-next-line no-await-in-loop -- One request at a time.
		await requestParts(deployment, `after-${parts.length}`, parts);
	}

	expect(deployment.host.logLines.filter(line => line.includes('event=call-blocked request=after-'))).toEqual([]);
});

// Guards against: sound requests pay for a guilty part that came with their first one, when no host has seen one end well yet.
test('a first part that nothing speaks for is cleared soon by a sound request', async () => {
	const deployment = await startCrashingEngines(start, {engines: 16, crashingParts});
	for (let index = 0; index < 4; index++) {
		// eslint-disable-next-line no-await-in-loop -- One request at a time.
		await requestParts(deployment, `guilty-${index}`, ['first', 'bad', `own-guilty-${index}`]);
		// eslint-disable-next-line no-await-in-loop -- Crashes are told apart by their times.
		await sleep(200);
	}

	const crashes = deployment.countCrashes();
	await sleep(600);
	expect(await requestParts(deployment, 'trial', ['first', 'document', 'own'])).toMatchObject({status: 200});
	expect(await requestParts(deployment, 'sound', ['first', 'document', 'own'])).toMatchObject({status: 200});
	expect(await requestParts(deployment, 'guilty', ['first', 'bad', 'own'])).toMatchObject({status: 500});
	expect(deployment.countCrashes()).toBe(crashes);
});

// Guards against: a request that waits in the queue when the news comes is sent all the same, or waits on.
test('a request whose part is blocked while it waits is answered at once, and not sent', async () => {
	const deployment = await startCrashingEngines(start, {engines: 1, crashingParts});
	const {host, counts, upstreams: [upstream]} = deployment;
	const {suspects, clock, reportExchange} = host.context;
	const key = `${upstream!.id}@${upstream!.startedAt}`;
	reportExchange.addLoad(key, {
		running: 1, unreadTokens: 1_000_000, latencySensitiveStreams: 0, queuedTokens: noRankTokens,
	});
	const answer = requestParts(deployment, 'waiting', ['bad', 'own'], '/background/1');
	await expect.poll(() => host.forwarder.getQueueLength()).toBe(1);
	for (const [index, crashed] of ['a@1', 'b@1'].entries()) {
		suspects.addCrash({suspect: getPartSuspect('bad'), upstream: crashed, age: 1000 * (1 - index)}, clock.monotonic());
	}

	expect(await answer).toMatchObject({status: 500});
	expect((await waitForEnd(host, 'waiting'))).toMatch(/sends=0 outcome=own-answer reason=suspected-of-crashes/v);
	expect(sum(counts)).toBe(0);
});

// Guards against: a wrong suspicion never goes, or each host tries for itself whether it was right.
test('only the host that is chosen for it tries a blocked part, with one request, which clears it', async () => {
	const deployment = await startCrashingEngines(start, {engines: 1, crashingParts: new Set()});
	const {host, counts} = deployment;
	const {suspects, clock} = host.context;
	for (const [index, crashed] of ['a@1', 'b@1'].entries()) {
		suspects.addCrash({suspect: getPartSuspect('p'), upstream: crashed, age: 60_000 + (1000 * (1 - index))}, clock.monotonic());
	}

	host.context.isTrialHost = () => false;
	expect(await requestParts(deployment, 'refused', ['p', 'own'])).toMatchObject({status: 500});
	host.context.isTrialHost = () => true;
	const answers = await Promise.all([1, 2, 3].map(async index => requestParts(deployment, `trial-${index}`, ['p', 'own'])));
	expect(answers.map(({status}) => status).toSorted((one, other) => one - other)).toEqual([200, 500, 500]);
	expect(sum(counts)).toBe(1);
	expect(await requestParts(deployment, 'cleared', ['p', 'own'])).toMatchObject({status: 200});
});

// Guards against: copies of a request that engines reject as wrong stay blocked for ever, or an error clears a part that crashes engines which begin an answer.
test('an error of the caller speaks for copies of its request, not for its parts, and an error of the engine for neither', async () => {
	for (const [status, isCopyCleared] of [[404, true], [500, false]] as const) {
		// eslint-disable-next-line no-await-in-loop -- One deployment at a time.
		const {host} = await start((_, response) => {
			response.writeHead(status, upstreamMark);
			response.end('no');
		});
		const {suspects, clock} = host.context;
		const copy = getFingerprint(buildCopy('/book/1', 'a'));
		for (const suspect of [copy, getPartSuspect('p')]) {
			suspects.addCrash({suspect, upstream: 'a@1', age: 0}, clock.monotonic());
		}

		// eslint-disable-next-line no-await-in-loop -- One deployment at a time.
		expect(await requestParts({host}, 'a', ['p', 'own'], '/book/1')).toMatchObject({status});
		expect(suspects.isSuspected(copy, clock.monotonic())).toBe(!isCopyCleared);
		expect(suspects.isSuspected(getPartSuspect('p'), clock.monotonic())).toBe(true);
	}
});

// Guards against: one trial of a blocked request crashes as many engines as its route allows.
test('a trial whose upstream crashes is not retried', async () => {
	const deployment = await startCrashingEngines(start, {engines: 4, crashingParts});
	const {suspects, clock} = deployment.host.context;
	const copy = getFingerprint(buildCopy('/read/1', 'a'));
	for (const upstream of ['a@1', 'b@1', 'c@1']) {
		suspects.addCrash({suspect: copy, upstream, age: 60_000}, clock.monotonic());
	}

	expect(await requestParts(deployment, 'a', ['bad'], '/read/1')).toMatchObject({status: 502});
	expect(deployment.countCrashes()).toBe(1);
});

// Guards against: the answer to a request that may have run says that it has not, as its part was blocked before it was sent again.
test('a request that may have run is not said to have not run when it is blocked before a retry', async () => {
	const blockAndReset: AnswerHandler = (request, response) => {
		for (const [index, crashed] of ['a@1', 'b@1'].entries()) {
			deployment.host.context.suspects.addCrash({suspect: getPartSuspect('bad'), upstream: crashed, age: 1000 * (1 - index)}, performance.now());
		}

		resetConnection(request, response);
	};

	const deployment = await start(blockAndReset, blockAndReset);
	const {status, body} = await requestParts(deployment, 'a', ['bad', 'own'], '/read/1');
	expect(status).toBe(502);
	expect(JSON.parse(body)).toMatchObject({error: {ran: 'unknown'}});
	expect(sum(deployment.counts)).toBe(1);
});

// Guards against: a retry of the request that has crashed its engine crashes another one.
test('a request whose upstream has crashed is not retried while nothing speaks for one of its parts', async () => {
	const deployment = await startCrashingEngines(start, {engines: 4, crashingParts});
	for (const path of ['/read/1', '/stream/1']) {
		// eslint-disable-next-line no-await-in-loop -- One request at a time.
		expect(await requestParts(deployment, `a${path}`, ['first', 'bad', 'own'], path)).toMatchObject({status: 502});
	}

	expect(deployment.countCrashes()).toBe(2);
});

test('a request whose upstream has crashed is retried if all of its parts have ended well lately', async () => {
	const deployment = await startCrashingEngines(start, {engines: 4, crashingParts});
	const {host: {context: {suspects, clock}}} = deployment;
	for (const part of ['first', 'bad']) {
		suspects.addGoodEnd(getPartSuspect(part), clock.monotonic());
	}

	await requestParts(deployment, 'a', ['first', 'bad', 'own'], '/read/1');
	expect(deployment.countCrashes()).toBe(2);
});
