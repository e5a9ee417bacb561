import type {Milliseconds} from '@gentianlift/types';
import type {Fault, ScheduledFault} from './schedule.js';

/** A fault schedule that once caused a violation or failure, with the seed that first produced it. */
export type RegressionCase = {seed: number; cause: string; schedule: ScheduledFault[]};

/** Time between two stops in a series, from a stop to the reloads, and from it to the silence of the store. */
const stopInterval: Milliseconds = 400;
const reloadDelay: Milliseconds = 700;
const silenceDelay: Milliseconds = 1500;
/** Time from a stop to many requests of callers that keep to the host, when that is about to end. */
const burstDelay: Milliseconds = 2500;

/** Stops four hosts one after the other; while they stop, they are reloaded, two don't reach the store, and nobody reads the output of the others. */
const stopInSeries = (from: Milliseconds): ScheduledFault[] => [0, 1, 2, 3].flatMap((host): ScheduledFault[] => {
	const at = from + (host * stopInterval);
	const fault: Fault = host % 2 === 0
		? {
			kind: 'store-link', host, state: {kind: 'silent'}, duration: 2500,
		}
		: {
			kind: 'host-output', host, state: 'unread', duration: 2500,
		};
	return [
		{at, fault: {kind: 'host-stop', host}},
		{at: at + reloadDelay, fault: {kind: 'host-reload', host, isSignalled: true}},
		{at: at + silenceDelay, fault},
		{
			at: at + burstDelay, fault: {
				kind: 'burst', host, factor: 10, duration: 1500,
			},
		},
	];
}).toSorted((one, other) => one.at - other.at);

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
	{
		seed: 7100,
		cause: 'A stream went on at an upstream of another software version, within one answer and when its caller took it up',
		schedule: [
			{
				at: 300, fault: {
					kind: 'upstream', upstream: 3, mode: 'truncating', duration: 1500,
				},
			},
			{
				at: 900, fault: {
					kind: 'upstream', upstream: 4, mode: 'crash', duration: 1000,
				},
			},
			{at: 1400, fault: {kind: 'host-kill', host: 1, down: 500}},
		],
	},
	{
		seed: 7102,
		cause: 'A host that was suspended while an upstream started again with another version mixed both; and a stream without length or chunks that its host gave up on looked complete',
		schedule: [
			{
				at: 300, fault: {
					kind: 'upstream', upstream: 3, mode: 'crash', duration: 2600,
				},
			},
			{at: 900, fault: {kind: 'host-pause', host: 4, duration: 2800}},
			{at: 900, fault: {kind: 'host-pause', host: 2, duration: 2800}},
			{
				at: 3000, fault: {
					kind: 'upstream', upstream: 3, mode: 'unframed', duration: 2800,
				},
			},
			{
				at: 4200, fault: {
					kind: 'upstream-link', upstream: 3, state: {kind: 'silent'}, duration: 2500,
				},
			},
		],
	},
	{
		seed: 7200,
		cause: 'Requests that share a part which crashes upstreams, but are never alike, went on to crash them',
		schedule: [
			{at: 300, fault: {kind: 'crashing-part', duration: 10_000}},
			{at: 3000, fault: {kind: 'host-kill', host: 1, down: 500}},
		],
	},
	{
		seed: 7201,
		cause: 'An upstream that named a limit on its requests got as many as before',
		schedule: [
			{
				at: 300, fault: {
					kind: 'upstream', upstream: 3, mode: 'limited', duration: 10_000,
				},
			},
		],
	},
	{
		seed: 7300,
		cause: 'Hosts that were partitioned from all upstreams failed their callers, while the others reached them',
		schedule: [
			{
				at: 300, fault: {
					kind: 'partition', hosts: [0, 1, 2], mode: 'reset', duration: 6000,
				},
			},
			{at: 3000, fault: {kind: 'host-kill', host: 3, down: 300}},
		],
	},
	{
		seed: 7302,
		cause: 'An upstream that asked for rest, and one that said that it leaves, got as many requests as before',
		schedule: [
			{
				at: 300, fault: {
					kind: 'upstream', upstream: 0, mode: 'resting', duration: 4000,
				},
			},
			{
				at: 300, fault: {
					kind: 'upstream', upstream: 3, mode: 'announcing', duration: 5000,
				},
			},
		],
	},
	{
		seed: 7301,
		cause: 'As before, where connections fell silent instead',
		schedule: [
			{
				at: 300, fault: {
					kind: 'partition', hosts: [1, 4], mode: 'silent', duration: 6000,
				},
			},
		],
	},
	{
		seed: 7303,
		cause: 'A host took a store that was restored from an older copy for one that has nothing new, and missed configurations',
		schedule: [
			{at: 300, fault: {kind: 'store', mode: 'restored', duration: 3000}},
			{at: 1000, fault: {kind: 'configurations', count: 4}},
			{at: 1200, fault: {kind: 'host-kill', host: 1, down: 300}},
			{at: 4000, fault: {kind: 'configurations', count: 1}},
		],
	},
	{
		seed: 7304,
		cause: 'An upstream\'s error, written into a stream that another one had begun, ended the call by an exception; an error event reached the caller in the middle of its stream',
		schedule: [
			{
				at: 300, fault: {
					kind: 'upstream', upstream: 3, mode: 'truncating', duration: 4000,
				},
			},
			{
				at: 300, fault: {
					kind: 'upstream', upstream: 5, mode: 'refusing-resumes', duration: 4000,
				},
			},
			{
				at: 2000, fault: {
					kind: 'upstream', upstream: 4, mode: 'cutting-heads', duration: 2000,
				},
			},
		],
	},
	{
		seed: 7400,
		cause: 'A host whose output had no reader any more did not exit after SIGTERM',
		schedule: [
			{
				at: 300, fault: {
					kind: 'host-output', host: 1, state: 'closed', duration: 0,
				},
			},
			{
				at: 300, fault: {
					kind: 'host-output', host: 2, state: 'unread', duration: 10_000,
				},
			},
			{at: 1500, fault: {kind: 'host-stop', host: 1}},
			{at: 1500, fault: {kind: 'host-stop', host: 2}},
		],
	},
	{
		seed: 7401,
		cause: 'A process that started while the one before it held its addresses, or a foreign socket one of them, exited at once',
		schedule: [
			{at: 300, fault: {kind: 'host-overlap', host: 0, overlap: 200}},
			{
				at: 600, fault: {
					kind: 'taken-address', host: 1, endpoint: 'metrics', duration: 4000,
				},
			},
			{
				at: 900, fault: {
					kind: 'taken-address', host: 2, endpoint: 'readiness', duration: 3000,
				},
			},
		],
	},
	{
		seed: 7402,
		cause: 'Large bodies, whole or unfinished, took a host past its memory; many unfinished ones took all places of its other callers',
		schedule: [
			{
				at: 300, fault: {
					kind: 'odd-bodies', host: 0, bodies: {count: 100, size: 4_000_000, isWhole: true}, duration: 5000,
				},
			},
			{
				at: 300, fault: {
					kind: 'odd-bodies', host: 1, bodies: {count: 100, size: 4_000_000, isWhole: false}, duration: 5000,
				},
			},
			{
				at: 300, fault: {
					kind: 'odd-bodies', host: 2, bodies: {count: 2000, size: 20_000, isWhole: false}, duration: 7000,
				},
			},
		],
	},
	{
		seed: 7403,
		cause: 'A very large or endless page of the store ended all hosts at once, or took them past their memory',
		schedule: [
			{at: 300, fault: {kind: 'store', mode: 'endless', duration: 3000}},
			{at: 4500, fault: {kind: 'store', mode: 'large', duration: 3000}},
		],
	},
	{
		seed: 7500,
		cause: 'A host that had decided to end accepted requests until its process was gone, and left them without an answer',
		schedule: [
			...stopInSeries(500),
			{at: 1000, fault: {kind: 'configurations', count: 3}},
			...stopInSeries(5000),
		],
	},
];
