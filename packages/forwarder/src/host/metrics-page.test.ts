import {expect, onTestFinished, test} from 'vitest';
import {answerOk, configuration} from '../test-deployment.js';
import {startLinkedFleet} from '../links/testing-partition.js';

test('the metrics page names the state of the store, the upstreams and the links', async () => {
	const {hosts: [first]} = await startLinkedFleet({
		hosts: 1, upstreams: [answerOk], configuration, onFinished: onTestFinished,
	});
	const page = first!.host.getMetricsPage();
	for (const gauge of ['queue_length', 'upstream_limits', 'upstreams_resting', 'services_cut', 'entries_unreadable', 'store_era', 'upstreams_avoided']) {
		expect(page).toContain(`${gauge} 0`);
	}

	expect(page).toContain('configuration_version 1');
	expect(page).toContain('configuration_version_elsewhere 0');
});
