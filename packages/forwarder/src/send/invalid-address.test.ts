import {createSystemClock} from '@gentianlift/clock';
import {buildUpstream} from '@gentianlift/routing/testing';
import {expect, onTestFinished, test} from 'vitest';
import {answerOk, createHostStarter} from '../test-deployment.js';
import {sendRequest} from '../testing.js';
import {probeConnection} from './connection-probe.js';

const start = createHostStarter(onTestFinished);

const invalidAddresses = ['127.0.0.1:99999', '127.0.0.1:0', '999.1.1.1:80', ''];

test('an address that nothing can be sent to is not reached', async () => {
	const clock = createSystemClock();
	const results = await Promise.all(invalidAddresses.map(async address => probeConnection(address, 200, clock)));
	expect(results).toEqual(invalidAddresses.map(() => 'failed'));
});

// Guards against: a caller's connection is cut without an answer, and what the attempt holds is never given back, as its upstream has an invalid address.
test('a request goes to another upstream if the address of the first is invalid', async () => {
	const {host, upstreams} = await start(answerOk);
	const invalid = invalidAddresses.map((address, index) => buildUpstream({id: `invalid${index}`, address}));
	host.setUpstreams([...invalid, ...upstreams]);
	const answers = await Promise.all(Array.from({length: 8}, async (_, index) => sendRequest(host.port, {path: '/read/1', headers: {attempt: `a${index}`}})));
	expect(answers.map(({status}) => status)).toEqual(answers.map(() => 200));
	await expect.poll(() => host.loads.getOwnLoads().reduce((sum, {running}) => sum + running, 0)).toBe(0);
});

// Guards against: a caller's connection is cut without an answer by an error of the host's own.
test('a request whose handling fails is answered', async () => {
	const {host} = await start(answerOk);
	host.context.random.next = () => {
		throw new Error('test');
	};

	const failed = await sendRequest(host.port, {path: '/read/1'});
	expect(failed.status).toBeGreaterThanOrEqual(500);
	expect(host.logLines.join('')).toMatch(/event=(?:call|dispatch)-failed/v);
});

// Guards against: one request that can't be decided on holds up all that wait behind it.
test('a request on which the queue can\'t decide costs no other', async () => {
	const {host} = await start(answerOk);
	const {getCandidates} = host.context.tracker;
	let decisions = 0;
	host.context.tracker.getCandidates = query => {
		decisions += 1;
		if (decisions === 1) {
			throw new RangeError('test');
		}

		return getCandidates(query);
	};

	const [first, second] = [await sendRequest(host.port, {path: '/read/1'}), await sendRequest(host.port, {path: '/read/1'})];
	expect(first).toMatchObject({status: 503});
	expect(first.body).toContain('"ran":"not-run"');
	expect(second).toMatchObject({status: 200});
	expect(host.logLines.join('')).toContain('event=dispatch-failed');
});
