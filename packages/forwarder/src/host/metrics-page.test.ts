import {expect, onTestFinished, test} from 'vitest';
import {answerOk, configuration} from '../test-deployment.js';
import {startLinkedFleet} from '../links/testing-partition.js';

test('the metrics page names the state of the store, the upstreams, the links and the memory', async () => {
	const {hosts: [first]} = await startLinkedFleet({
		hosts: 1, upstreams: [answerOk], configuration, onFinished: onTestFinished,
	});
	const page = first!.host.getMetricsPage();
	for (const gauge of ['queue_length', 'upstream_limits', 'upstreams_resting', 'services_cut', 'entries_unreadable', 'store_era', 'upstreams_avoided']) {
		expect(page).toContain(`${gauge} 0`);
	}

	for (const gauge of ['resident_memory_bytes', 'heap_used_bytes', 'external_bytes']) {
		expect(page).toMatch(new RegExp(String.raw`${gauge} [1-9]\d+`, 'v'));
	}

	expect(page).toContain('configuration_version 1');
	expect(page).toContain('configuration_version_elsewhere 0');
});
