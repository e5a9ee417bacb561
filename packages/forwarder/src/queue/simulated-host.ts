import type {ServerResponse} from 'node:http';
import {createManualClock, createRandom, type ManualClock} from '@gentianlift/clock';
import {
	createLoadTracker, type LoadTracker, type LoadReportExchange,
} from '@gentianlift/discovery';
import {createLogger} from '@gentianlift/logger';
import {createMetrics, type Metrics} from '@gentianlift/metrics';
import {
	createCrashSuspects, type Route, type RoutingConfiguration, type Upstream,
} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import {type Call} from '../call.js';
import {createForwarder} from '../forward.js';
import {unlimitedBytes} from '../memory/memory-budget.js';
import type {ForwarderContext} from '../context.js';
import {createSoleLimits} from '../statements/testing-sole-limits.js';
import {createSoleLinks} from '../links/testing-sole-links.js';
import {createFragileUpstreams} from '../statements/fragile-upstreams.js';
import {createUpstreamRests} from '../statements/upstream-rests.js';
import {buildTestCall, buildTestPrompt} from '../testing-call.js';
import {createTestView} from '../resume/testing-view.js';
import {createUpstreamTracker} from './upstream-tracker.js';

/** A host on a simulated clock, for tests of calls that wait in its queue. */
export type SimulatedHost = {
	clock: ManualClock;
	context: ForwarderContext;
	loads: LoadTracker;
	metrics: Metrics;
	/** Lines that the host has logged. */
	logLines: string[];
	/** Creates a call that arrives now, for tests of a queue without a forwarder. */
	createCall: (request: SimulatedRequest) => Call;
	/** Sends a request as a caller; the returned answer is filled in when the host writes it. */
	send: (request: SimulatedRequest) => SimulatedAnswer;
	/** Lets the host serve until a time on the clock. */
	setServingEnd: (end: Milliseconds) => void;
	/** Answers the calls that are open, as at the end of the host. */
	answerCalls: () => void;
};

/** Options of a simulated host; hosts of one fleet share a clock and have different seeds. */
export type SimulatedHostOptions = {clock?: ManualClock; seed?: number};

/** A request with a prompt of one part; `clientTimeout` is how long its caller waits for the final answer. */
export type SimulatedRequest = {route: Route; name: string; tokens: number; clientTimeout?: Milliseconds};

/** An answer of the host; without a status until it is written. */
export type SimulatedAnswer = {status?: number; retryAfter?: Milliseconds; body: string; answeredAt?: Milliseconds};

const millisecondsPerSecond = 1000;

/** Creates a response that records what is written to it. */
const createResponse = (clock: ManualClock, answer: SimulatedAnswer): ServerResponse => {
	const response = {
		headersSent: false,
		writableFinished: false,
		once: () => undefined,
		off: () => undefined,
		writeHead(status: number, headers: string[]) {
			const retryAfter = headers[headers.indexOf('Retry-After') + 1];
			response.headersSent = true;
			answer.status = status;
			answer.answeredAt = clock.monotonic();
			if (headers.includes('Retry-After')) {
				answer.retryAfter = Number(retryAfter) * millisecondsPerSecond;
			}
		},
		end(body: Uint8Array) {
			answer.body = new TextDecoder().decode(body);
			response.writableFinished = true;
		},
		destroy: () => undefined,
	};
	return response as unknown as ServerResponse;
};

/** Creates a host that knows the configuration and the upstreams, at which nothing listens. */
export const createSimulatedHost = (configuration: RoutingConfiguration, upstreams: readonly Upstream[], {clock = createManualClock(1000), seed = 1}: SimulatedHostOptions = {}): SimulatedHost => {
	const loads = createLoadTracker();
	const logLines: string[] = [];
	const logger = createLogger('info', line => {
		logLines.push(line);
	});
	const metrics = createMetrics();
	const view = createTestView(logger, configuration, upstreams);
	const reportExchange: Pick<LoadReportExchange, 'addLoad'> = {
		addLoad(upstream, change) {
			loads.addOwnLoad(upstream, change, clock.monotonic());
		},
	};
	const limits = createSoleLimits(clock, logger);
	const fragileUpstreams = createFragileUpstreams({
		clock, logger, loads, countHosts: () => 1, isAmongChosenHosts: () => true,
	});
	const rests = createUpstreamRests({clock, random: createRandom(1), logger});
	let servingEnd = Number.POSITIVE_INFINITY;
	const context = {
		clock,
		random: createRandom(seed),
		logger,
		metrics,
		protocol: {buildErrorHeaders: () => []},
		zone: 'a',
		view,
		reportExchange,
		limits,
		rests,
		fragileUpstreams,
		links: createSoleLinks(clock, view),
		tracker: createUpstreamTracker({
			clock, logger, loads, limits, rests, fragileUpstreams, getService: view.getService,
		}),
		memory: {open: () => unlimitedBytes, getHeldBytes: () => 0},
		suspects: createCrashSuspects(),
		retryLimit: {ratio: 0.2, minimum: 54, window: 10_000},
		countHosts: () => 1,
		isStopping: () => false,
		getTimeSinceStop: () => undefined,
		getServingEnd: () => servingEnd,
	} as unknown as ForwarderContext;
	const forwarder = createForwarder(context);
	const createSimulatedCall = ({route, name, tokens, clientTimeout}: SimulatedRequest, response: ServerResponse): Call => buildTestCall({
		route, name, response, arrivedAt: clock.monotonic(), prompt: buildTestPrompt(name, tokens), ...(clientTimeout !== undefined && {clientTimeout}),
	});
	return {
		clock,
		context,
		loads,
		metrics,
		logLines,
		createCall: request => createSimulatedCall(request, createResponse(clock, {body: ''})),
		send(request) {
			const answer: SimulatedAnswer = {body: ''};
			void forwarder.forward(createSimulatedCall(request, createResponse(clock, answer)));
			return answer;
		},
		setServingEnd(end) {
			servingEnd = end;
		},
		answerCalls: forwarder.answerCalls,
	};
};
