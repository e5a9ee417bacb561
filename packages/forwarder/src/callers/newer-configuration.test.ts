import {buildRouteTable} from '@gentianlift/routing';
import {expect, onTestFinished, test} from 'vitest';
import {answerOk, configuration, createHostStarter} from '../test-deployment.js';
import {sendRequest} from '../testing.js';

const start = createHostStarter(onTestFinished);

// Guards against: a host refuses a request for good by its configuration, although another host reports a newer one that it could not read in time.
test('a request is refused as not run, to be sent again, while another host goes by a newer configuration', async () => {
	const {host} = await start(answerOk);
	expect(await sendRequest(host.port, {path: '/unknown/1'})).toMatchObject({status: 404});
	host.context.reportExchange.getNewestConfigurationVersion = () => 9;
	const refused = await sendRequest(host.port, {path: '/unknown/1'});
	expect(refused).toMatchObject({status: 503});
	expect(refused.body).toContain('"ran":"not-run"');
});

// Guards against: a request runs on a route that is dropped in a newer configuration, which its host could have read.
test('a request that is allowed waits for the newer configuration of another host', async () => {
	const {host: {context, port}, counts} = await start(answerOk);
	context.freshness.waitForConfiguration = async () => {
		context.view.getRoutes = () => buildRouteTable({...configuration, version: 9, routes: []});
	};

	expect(await sendRequest(port, {path: '/read/1'})).toMatchObject({status: 404});
	expect(counts).toEqual([0]);
});
