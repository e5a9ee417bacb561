import {expect, onTestFinished, test} from 'vitest';
import {createHostStarter} from './test-deployment.js';
import {
	countMostArrivals, createLimitedEngine, getAllowedArrivals, sendSteadily,
} from './testing-limits.js';

const start = createHostStarter(onTestFinished);

// Guards against: an engine that names a limit on its requests gets as many as before.
test.fails('an upstream gets no more requests than the limit that it names', async () => {
	const limited = createLimitedEngine('2');
	const deployment = await start(limited.answer);
	const startedAt = performance.now();
	await sendSteadily(deployment, {interval: 20, duration: 7500});
	expect(countMostArrivals(limited.arrivals, startedAt + 3000)).toBeLessThanOrEqual(getAllowedArrivals(2));
});
