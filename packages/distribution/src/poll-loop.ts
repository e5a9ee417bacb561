import type {Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {Milliseconds} from '@gentianlift/types';
import {createLoop, type Loop} from './loop.js';
import type {ServiceReader} from './service-reader.js';

/** Dependencies and options of the poll loop. */
export type PollLoopOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	readService: ServiceReader;
	/** Returns the number of hosts in the fleet, at least 1. */
	getFleetSize: () => number;
	/** Mean time between two polls, counted over all hosts of the fleet. */
	fleetPollInterval: Milliseconds;
};

/**
Creates the loop that polls the key-value service.
Its interval grows with the number of hosts, which keeps the load on the service constant.
*/
export const createPollLoop = ({clock, random, metrics, readService, getFleetSize, fleetPollInterval}: PollLoopOptions): Loop =>
	createLoop(clock, async () => {
		const result = await readService();
		metrics.count('configuration_poll', {result});
		const jitter = 0.5 + random.next();
		return getFleetSize() * fleetPollInterval * jitter;
	});
