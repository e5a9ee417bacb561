import {createManualClock} from '@gentianlift/clock';
import {createLogger} from '@gentianlift/logger';
import {createMetrics} from '@gentianlift/metrics';
import {expect, test} from 'vitest';
import {watchEventLoopDelay} from './event-loop-delay.js';

const interval = 50;

const startWatch = () => {
	const clock = createManualClock();
	const lines: string[] = [];
	const metrics = createMetrics();
	watchEventLoopDelay({
		...clock,
		logger: createLogger('info', line => {
			lines.push(line);
		}),
		metrics,
	});
	return {clock, lines, metrics};
};

/** Keeps the event loop from running for a time. */
const delay = async ({advance, pause}: ReturnType<typeof startWatch>['clock'], duration: number): Promise<void> => {
	pause(duration);
	await advance(interval);
};

// Guards against: nothing shows that a process hasn't handed back the processor.
test('a delay of the event loop is recorded and logged', async () => {
	const {clock, lines, metrics} = startWatch();
	await clock.advance(10 * interval);
	expect(metrics.getSummary('event_loop_delay')).toMatchObject({count: 10, max: 0});
	expect(lines).toEqual([]);
	await delay(clock, 1050);
	expect(metrics.getSummary('event_loop_delay')?.max).toBeGreaterThanOrEqual(1000);
	expect(lines).toEqual([expect.stringMatching(/level=warn event=event-loop-delayed delays=1 longest=1000/v)]);
});

// Guards against: a process that is short of processor time uses more of it for log lines.
test('delays of the event loop that follow each other are logged once a second', async () => {
	const {clock, lines} = startWatch();
	for (let number = 0; number < 20; number++) {
		// eslint-disable-next-line no-await-in-loop -- Time advances step by step.
		await delay(clock, 300);
	}

	expect(lines.length).toBeGreaterThan(1);
	expect(lines.length).toBeLessThanOrEqual(1 + (20 * (300 + interval) / 1000));
});
