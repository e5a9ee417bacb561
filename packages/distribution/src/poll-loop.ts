import type {Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {Milliseconds} from '@gentianlift/types';
import {createLoop, type Loop} from './loop.js';
import type {ServiceReader} from './service-reader.js';

/** What the poll loop needs. */
export type PollOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	readService: ServiceReader;
	/** Number of hosts in the fleet, at least 1. */
	getSize: () => number;
	/** Mean time between two polls of the whole fleet. */
	spacing: Milliseconds;
};

/** Creates the loop that polls the service; the more hosts there are, the less often each does. */
export const createPollLoop = ({clock, random, metrics, readService, getSize, spacing}: PollOptions): Loop =>
	createLoop(clock, async () => {
		const result = await readService();
		metrics.count('configuration_poll', {result});
		const jitter = 0.5 + random.next();
		return getSize() * spacing * jitter;
	});
