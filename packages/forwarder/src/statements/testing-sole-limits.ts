import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import {createUpstreamLimits, type UpstreamLimits} from './upstream-limits.js';

/** Creates the limits of the only host of a fleet. */
export const createSoleLimits = (clock: Clock, logger: Logger): UpstreamLimits => createUpstreamLimits({
	clock, logger, countHosts: () => 1, isAmongChosenHosts: () => true, announce: () => undefined,
});
