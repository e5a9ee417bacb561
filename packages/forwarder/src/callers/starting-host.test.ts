import {setTimeout as sleep} from 'node:timers/promises';
import {buildRoute} from '@gentianlift/routing/testing';
import {expect, onTestFinished, test} from 'vitest';
import {answerOk, configuration} from '../test-deployment.js';
import {startLinkedFleet, type LinkedHost} from '../links/testing-partition.js';
import {sendRequest} from '../testing.js';

const newer = {...configuration, version: 7, routes: [...configuration.routes, buildRoute({name: 'added', pathPrefix: '/added/'})]};

/** Interval and number of the requests that are sent to a host from its start on. */
const interval = 20;
const requests = 100;

/** Sends a request on the route that only the newer configuration has; returns the status of its answer. */
const send = async ({callers}: LinkedHost): Promise<number> => {
	const {status} = await sendRequest(callers, {path: '/added/1'});
	return status;
};

/** Sends such requests to a host for a time; returns their statuses. */
const sendFromStart = async (host: LinkedHost): Promise<number[]> => {
	const statuses: number[] = [];
	for (let sent = 0; sent < requests; sent++) {
		// eslint-disable-next-line no-await-in-loop -- Requests are sent one at a time.
		statuses.push(await send(host));
		// eslint-disable-next-line no-await-in-loop -- Requests are sent one at a time.
		await sleep(interval);
	}

	return statuses;
};

// Guards against: a host that starts after a restore of the store refuses what the newest configuration allows, as the store holds an older one.
test('a host that starts goes by the newest configuration that another host knows, whatever the store holds', async () => {
	const fleet = await startLinkedFleet({
		hosts: 2, upstreams: [answerOk], configuration, onFinished: onTestFinished,
	});
	fleet.configure(newer);
	await expect.poll(async () => Promise.all(fleet.hosts.map(async host => send(host)))).toEqual([200, 200]);
	fleet.restore(configuration);
	const statuses = await sendFromStart(await fleet.addHost());
	expect(new Set(statuses.filter(status => status !== 503))).toEqual(new Set([200]));
	expect(statuses.at(-1)).toBe(200);
});
