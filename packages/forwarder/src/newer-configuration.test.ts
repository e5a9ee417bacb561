import {expect, onTestFinished, test} from 'vitest';
import {answerOk, createHostStarter} from './test-deployment.js';
import {sendRequest} from './testing.js';

const start = createHostStarter(onTestFinished);

// Guards against: a host refuses a request for good by its configuration, although another host reports a newer one that it could not read in time.
test.fails('a request is refused as not run, to be sent again, while another host goes by a newer configuration', async () => {
	const {host} = await start(answerOk);
	expect(await sendRequest(host.port, {path: '/unknown/1'})).toMatchObject({status: 404});
	host.context.reportExchange.getNewestConfigurationVersion = () => 9;
	const refused = await sendRequest(host.port, {path: '/unknown/1'});
	expect(refused).toMatchObject({status: 503});
	expect(refused.body).toContain('"ran":"not-run"');
});
