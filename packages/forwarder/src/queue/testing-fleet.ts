import {createRandom, type ManualClock} from '@gentianlift/clock';
import {
	createLoadTracker, type FleetView, type LoadReportExchange, type LoadTracker, type Prefill,
} from '@gentianlift/discovery';
import {createSilentLogger} from '@gentianlift/logger';
import {createMetrics} from '@gentianlift/metrics';
import {
	createCrashSuspects, getUpstreamKey, type Prompt, type RoutingConfiguration, type UpstreamKey,
} from '@gentianlift/routing';
import {buildUpstream} from '@gentianlift/routing/testing';
import type {HostId, Milliseconds} from '@gentianlift/types';
import {createProgress, type Call} from '../call.js';
import type {ForwarderContext} from '../context.js';
import {createSoleLimits} from '../statements/testing-sole-limits.js';
import {createSoleLinks} from '../links/testing-sole-links.js';
import {createUpstreamRests} from '../statements/upstream-rests.js';
import {createTestView} from '../resume/testing-view.js';
import {createUpstreamTracker, type UpstreamTracker} from './upstream-tracker.js';
import {createTestEngine, type TestEngine} from './testing-engine.js';
import {createRequestQueue, type Assignment, type RequestQueue} from './request-queue.js';

/** A simulated fleet, whose hosts exchange load reports in memory. */
export type TestFleet = {
	/** Forwards a call from one of the hosts; resolves at its first token, or with undefined if the call was sent nowhere. */
	forward: (hostIndex: number, call: Call) => Promise<ForwardedCall | undefined>;
};

/** What was observed of a call that has received its first token. */
export type ForwardedCall = {
	sentAt: Milliseconds;
	firstTokenAt: Milliseconds;
	/** Tokens that the engine still had to prefill when the call was sent to it. */
	tokensAhead: number;
	/** Tokens that the engine prefilled for the call. */
	uncachedTokens: number;
};

/** Options of a simulated fleet. */
export type TestFleetOptions = {
	clock: ManualClock;
	configuration: RoutingConfiguration;
	hosts: number;
	engines: number;
	/** Time in which a load report reaches the other hosts. */
	reportDelay: Milliseconds;
	/** Minimum spacing of a host's load reports, as enforced by the exchange of reports. */
	reportSpacing: Milliseconds;
	seed: number;
};

type TestHost = {
	id: HostId;
	loads: LoadTracker;
	tracker: UpstreamTracker;
	queue: RequestQueue;
	reportExchange: Pick<LoadReportExchange, 'addLoad' | 'addPrefill'>;
};

type TestReport = {sender: TestHost; loads: ReturnType<LoadTracker['getOwnLoads']>; prefills: readonly Prefill[]};

/** Delay in which a host collects changes into one load report. */
const batchDelay: Milliseconds = 3;
/** Time that a request or an answer takes between a host and an engine. */
const networkDelay: Milliseconds = 1;
/** Time from the first token of a stream to its end. */
const streamDuration: Milliseconds = 500;

/** Creates a host's exchange of load reports; `send` delivers a report to the other hosts. */
const createReportExchange = ({clock, reportSpacing}: TestFleetOptions, loads: LoadTracker, send: (report: Omit<TestReport, 'sender'>) => void): TestHost['reportExchange'] => {
	const changed = new Set<UpstreamKey>();
	let prefills: Prefill[] = [];
	let isScheduled = false;
	let sentAt = Number.NEGATIVE_INFINITY;

	const sendReport = (): void => {
		isScheduled = false;
		sentAt = clock.monotonic();
		send({loads: loads.getOwnLoads().filter(({upstream}) => changed.has(upstream)), prefills});
		changed.clear();
		prefills = [];
	};

	const schedule = (): void => {
		if (!isScheduled) {
			isScheduled = true;
			clock.after(Math.max(batchDelay, sentAt + reportSpacing - clock.monotonic()), sendReport);
		}
	};

	return {
		addLoad(upstream, change) {
			loads.addOwnLoad(upstream, change, clock.monotonic());
			changed.add(upstream);
			schedule();
		},
		addPrefill(prefill) {
			prefills.push(prefill);
			schedule();
		},
	};
};

/** What the queue of a host needs. */
type QueueContext = Pick<ForwarderContext,
	'clock' | 'view' | 'tracker' | 'metrics' | 'reportExchange' | 'random' | 'zone' | 'countHosts' | 'suspects' | 'getServingEnd' | 'limits' | 'rests' | 'links'>;

const createHost = (options: TestFleetOptions, index: number, view: FleetView, send: (report: TestReport) => void): TestHost => {
	const {clock, seed} = options;
	const loads = createLoadTracker();
	const limits = createSoleLimits(clock, createSilentLogger());
	const rests = createUpstreamRests({clock, random: createRandom(seed), logger: createSilentLogger()});
	const tracker = createUpstreamTracker({
		clock, logger: createSilentLogger(), loads, limits, rests, fragileUpstreams: {hasRoom: () => true}, getService: view.getService,
	});
	const reportExchange = createReportExchange(options, loads, report => {
		send({sender: host, ...report});
	});
	const context: QueueContext = {
		clock, view, tracker, metrics: createMetrics(), reportExchange: reportExchange as LoadReportExchange, random: createRandom(seed + index), zone: 'a', countHosts: () => options.hosts,
		suspects: createCrashSuspects(),
		getServingEnd: () => Number.POSITIVE_INFINITY,
		limits,
		rests,
		links: createSoleLinks(clock, view),
	};
	const host: TestHost = {
		id: `h${index}`, loads, tracker, reportExchange, queue: createRequestQueue(context as ForwarderContext),
	};
	return host;
};

const applyReport = (host: TestHost, {sender, loads, prefills}: TestReport, now: Milliseconds): void => {
	host.loads.setReported(sender.id, 1, loads, now);
	host.queue.requestDispatch();
	for (const prefill of prefills) {
		host.tracker.recordPrefill(prefill.upstream, prefill);
	}
};

/** Sends a call to the engine and resolves at its first token; records the load as an attempt does. */
const runCall = async (clock: ManualClock, host: TestHost, {candidate, load, permit}: Assignment, {engine, prompt}: {engine: TestEngine; prompt: Prompt}): Promise<ForwardedCall> => {
	const {upstream, uncachedTokens: expectedTokens} = candidate;
	const prefill = {upstream: getUpstreamKey(upstream), model: prompt.model, parts: prompt.parts};
	const sentAt = clock.monotonic();
	const tokensAhead = engine.getUnreadTokens();
	const activity = host.tracker.trackRequest(upstream);
	host.tracker.recordPrefill(prefill.upstream, prefill);
	host.reportExchange.addPrefill(prefill);
	await clock.sleep(networkDelay);
	const uncachedTokens = await new Promise<number>(resolve => {
		engine.receive(prompt, resolve);
	});
	await clock.sleep(networkDelay);
	const firstTokenAt = clock.monotonic();
	activity.recordBytes();
	load.finishPrefill();
	host.tracker.recordFirstToken(upstream, candidate.load.unreadTokens + expectedTokens, firstTokenAt - sentAt);
	clock.after(streamDuration, () => {
		activity.end();
		load.end();
		permit.release();
		host.queue.requestDispatch();
	});
	return {
		sentAt, firstTokenAt, tokensAhead, uncachedTokens,
	};
};

/** Creates a fleet of idle hosts and engines of the service `s`. */
export const createTestFleet = (options: TestFleetOptions): TestFleet => {
	const {clock, configuration, reportDelay} = options;
	const upstreams = Array.from({length: options.engines}, (_, index) => buildUpstream({id: `u${index}`}));
	const engines = new Map(upstreams.map(upstream => [getUpstreamKey(upstream), createTestEngine(clock)]));
	const view = createTestView(createSilentLogger(), configuration, upstreams);
	const send = (report: TestReport): void => {
		clock.after(reportDelay, () => {
			for (const host of hosts.filter(other => other !== report.sender)) {
				applyReport(host, report, clock.monotonic());
			}
		});
	};

	const hosts = Array.from({length: options.hosts}, (_, index) => createHost(options, index, view, send));
	return {
		async forward(hostIndex, call) {
			const host = hosts[hostIndex]!;
			const assignment = await host.queue.enqueue(call, createProgress());
			const engine = assignment === undefined ? undefined : engines.get(getUpstreamKey(assignment.candidate.upstream));
			if (assignment === undefined || engine === undefined || call.head.prompt === undefined) {
				return undefined;
			}

			return runCall(clock, host, assignment, {engine, prompt: call.head.prompt});
		},
	};
};
