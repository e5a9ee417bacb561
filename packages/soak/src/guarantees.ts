import type {Milliseconds} from '@gentianlift/types';
import {
	checkBounds, checkLimits, checkOddBodies, checkPartCrashes, checkPartitions,
} from './fleet-guarantees.js';
import {checkDuties, type DutyCall} from './duty-guarantees.js';
import {checkLosses} from './loss-guarantees.js';
import type {Fault} from './schedule.js';

/** Kinds of requests that a soak's callers send. Callers resume a `resumable` stream when it breaks. */
export const requestKinds = ['booking', 'lookup', 'stream', 'resumable'] as const;
/** One of `requestKinds`. */
export type RequestKind = typeof requestKinds[number];

/** How a request ended for its caller. */
export type Outcome
	/** The caller received a complete answer; `isOwn` if its body is the one that the upstream sent for this request. */
	= | {kind: 'answered'; status: number; isOwn: boolean}
		/** The connection broke, or the answer was truncated, `sentFor` after the whole request was sent; 0 if it wasn't. */
		| {kind: 'broken'; reason: string; sentFor: Milliseconds}
		/** No connection was established, so that no host received the request. */
		| {kind: 'unsent'; reason: string}
		/** The caller gave up at its timeout before the answer was complete. */
		| {kind: 'given-up'};

/** One request on the wire, as its caller observed it. Times are of the soak's monotonic clock. */
export type Exchange = {
	/** Unique id of the request. */
	attempt: string;
	/** Index of the host that the request was sent to. */
	host: number;
	startedAt: Milliseconds;
	endedAt: Milliseconds;
	/** Time after which the caller gives up. */
	timeout: Milliseconds;
	outcome: Outcome;
};

/** What a caller wanted, and how that ended. */
export type Call = {
	/** Id of its first request. */
	attempt: string;
	kind: RequestKind;
	service: string;
	/** Index of the host that its first request was sent to. */
	host: number;
	startedAt: Milliseconds;
	endedAt: Milliseconds;
	/** Outcome of its last request if that was served, or else of the first. */
	outcome: Outcome;
	/** The part of the request's prompt that crashes upstreams, if it has one. */
	part?: string | undefined;
	/** Its requests: the first, and those with which the caller of a resumable stream resumed it. */
	exchanges: readonly Exchange[];
	/** Software versions of the upstreams whose events the caller of a resumable stream received. */
	versions: readonly string[];
};

/** The start of a request's execution at an upstream. */
export type Execution = {attempt: string; service: string; upstream: string; at: Milliseconds};

/** A period of time, both ends included. */
export type Interval = {from: Milliseconds; to: Milliseconds};

/** A request that arrived while its upstream asked for rest or said that it leaves; `episode` tells the times apart in which one does. */
export type BoundArrival = {kind: 'resting' | 'announcing'; episode: string; attempt: string; at: Milliseconds};

/** A period of an unplanned fault. */
export type Disturbance = Interval & {kind: Fault['kind']};

/** Everything recorded in one run, from which violations are found. */
export type Observations = {
	calls: Call[];
	executions: Execution[];
	/** Periods from SIGTERM to the exit of a host's process. */
	shutdowns: Array<Interval & {host: number}>;
	/** Periods of unplanned faults: a killed host with its restart, a paused host, and faults of links, upstreams and the key-value service. */
	disturbances: Disturbance[];
	/** Periods in which a host's process was shutting down, paused or killed. */
	outages: Array<Interval & {host: number}>;
	/** Crashes of upstreams on a part of a prompt. */
	partCrashes: Array<{part: string; at: Milliseconds}>;
	boundArrivals: BoundArrival[];
	/** Periods in which the links of hosts to all upstreams were cut. */
	partitions: Array<Interval & {hosts: readonly number[]}>;
	/** Periods in which odd callers sent large or unfinished bodies to hosts. */
	oddBodies: Array<Interval & {hosts: readonly number[]}>;
	/** Arrivals at upstreams that name a limit, by the time in which one does. */
	limitedArrivals: Array<{episode: string; at: Milliseconds}>;
	/** Calls for duties, in the order in which they came to the operators' service. */
	dutyCalls: DutyCall[];
};

/** A guarantee of the router that was broken for a request. */
export type Violation = {guarantee: string; attempt: string; detail: string};

/** Statuses that state that a request was not executed and won't be. */
const notExecutedStatuses = new Set([408, 421, 429, 503]);
/** Time beyond a caller's timeout within which a working host must have answered. */
const answerGracePeriod: Milliseconds = 1000;
/** Time after a fault during which requests still count as affected by it. */
export const disturbanceAftermath: Milliseconds = 3000;

/** Whether a period has a moment from `from` to `to`. */
export const overlaps = (interval: Interval, from: Milliseconds, to: Milliseconds): boolean => interval.from <= to && interval.to >= from;

const groupByAttempt = (executions: readonly Execution[]): Map<string, Execution[]> => {
	const groups = new Map<string, Execution[]>();
	for (const execution of executions) {
		groups.set(execution.attempt, [...(groups.get(execution.attempt) ?? []), execution]);
	}

	return groups;
};

const roundNumber = (_key: string, value: unknown): unknown => typeof value === 'number' ? Math.round(value) : value;

/** Describes a request for a report. */
export const describeExchange = ({host, startedAt, endedAt, outcome}: Exchange): string =>
	`host ${host} from ${Math.round(startedAt)} to ${Math.round(endedAt)}: ${JSON.stringify(outcome, roundNumber)}`;

const describeCall = ({kind, outcome, exchanges}: Call): string =>
	`${kind} at ${exchanges.map(exchange => describeExchange(exchange)).join(', ')}; in all ${JSON.stringify(outcome, roundNumber)}`;

/** Returns whether a caller gave up, beyond its timeout, on a host whose process was running normally. */
const isUnanswered = ({host, startedAt, endedAt, timeout, outcome}: Exchange, {outages}: Observations): boolean =>
	outcome.kind === 'given-up'
	&& endedAt - startedAt > timeout + answerGracePeriod
	&& !outages.some(interval => interval.host === host && overlaps(interval, startedAt - disturbanceAftermath, endedAt));

/** Whether an answer states that its request was not executed. */
const isDenied = (outcome: Outcome): boolean => outcome.kind === 'answered' && notExecutedStatuses.has(outcome.status);

/** Finds what was broken for single requests of a call. */
const checkExchanges = ({kind, exchanges}: Call, executionsByAttempt: ReadonlyMap<string, Execution[]>, observations: Observations): Violation[] => exchanges.flatMap(exchange => {
	const {attempt, outcome} = exchange;
	const detail = `${kind} at ${describeExchange(exchange)}`;
	const violations: Violation[] = [];
	if (isDenied(outcome) && executionsByAttempt.has(attempt)) {
		violations.push({guarantee: 'what is said not to have run has not', attempt, detail});
	}

	if (isUnanswered(exchange, observations)) {
		violations.push({guarantee: 'a host that works answers in time', attempt, detail});
	}

	return violations;
});

const checkCall = (call: Call, executions: readonly Execution[]): Array<Omit<Violation, 'attempt'>> => {
	const detail = describeCall(call);
	const executedAt = executions.map(({upstream, at}) => `${upstream}@${Math.round(at)}`).join(', ');
	const violations: Array<Omit<Violation, 'attempt'>> = [];
	if ((call.kind === 'booking' || call.kind === 'stream') && executions.length > 1) {
		violations.push({guarantee: 'a booking or a stream runs at most once', detail: `${detail}; ran at ${executedAt}`});
	}

	if (call.outcome.kind === 'answered' && call.outcome.status < 300 && !call.outcome.isOwn) {
		violations.push({guarantee: 'an answer is whole and belongs to its request', detail});
	}

	if (new Set(call.versions).size > 1) {
		violations.push({guarantee: 'a stream has events of one software version', detail: `${detail}; versions ${call.versions.join(', ')}`});
	}

	if (executions.some(({service}) => service !== call.service)) {
		violations.push({guarantee: 'a request runs at its own service', detail: `${detail}; ran at ${executedAt}`});
	}

	return violations;
};

/** Finds the guarantees that were broken, by request. */
export const findViolations = (observations: Observations): Violation[] => {
	const executionsByAttempt = groupByAttempt(observations.executions);
	const violations = observations.calls.flatMap(call => [
		...checkCall(call, call.exchanges.flatMap(({attempt}) => executionsByAttempt.get(attempt) ?? [])).map(violation => ({attempt: call.attempt, ...violation})),
		...checkExchanges(call, executionsByAttempt, observations),
	]);
	const checks = [checkLosses, checkPartCrashes, checkLimits, checkPartitions, checkOddBodies, checkBounds, checkDuties];
	return [...violations, ...checks.flatMap(check => check(observations))];
};
