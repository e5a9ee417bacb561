import type {ScheduledFault} from './schedule.js';

/** A fault schedule that once caused a violation or failure, with the seed that first produced it. */
export type RegressionCase = {seed: number; cause: string; schedule: ScheduledFault[]};

/** Regression cases that the `kept` option runs before the seeds. */
export const regressionCases: readonly RegressionCase[] = [
	{
		seed: 3,
		cause: 'SIGHUP terminated a host that was still starting: its signal handler was installed only after the settings were read',
		schedule: [
			{at: 100, fault: {kind: 'host-kill', host: 2, down: 300}},
			{at: 450, fault: {kind: 'host-reload', host: 2, isSignalled: true}},
			{at: 650, fault: {kind: 'host-reload', host: 2, isSignalled: true}},
			{at: 900, fault: {kind: 'host-stop', host: 1}},
			{at: 1500, fault: {kind: 'host-reload', host: 1, isSignalled: true}},
		],
	},
	{
		seed: 7000,
		cause: 'A stream without length or chunks that ended inside an event reached its caller as a complete one',
		schedule: [
			{
				at: 300, fault: {
					kind: 'upstream', upstream: 3, mode: 'unframed', duration: 2000,
				},
			},
			{
				at: 600, fault: {
					kind: 'upstream', upstream: 4, mode: 'unframed', duration: 2000,
				},
			},
		],
	},
];
