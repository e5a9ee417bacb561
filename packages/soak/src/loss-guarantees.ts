import type {Milliseconds} from '@gentianlift/types';
import {shutdownGracePeriod} from './fleet.js';
import {
	describeExchange, disturbanceAftermath, overlaps, type Disturbance, type Exchange, type Observations, type Violation,
} from './guarantees.js';

/** Time from the sending of a request in which a host may not have read it yet. */
const readingTime: Milliseconds = 200;
/** Time from SIGTERM in which what a host does counts as part of its planned stop. */
const plannedStopTime: Milliseconds = shutdownGracePeriod + 1000;

/** Kinds of faults of the store, none of which a request needs. */
const storeFaults: ReadonlySet<Disturbance['kind']> = new Set(['store', 'store-link']);

/** Whether an unplanned fault may have broken a request's connection. */
const isExcused = ({startedAt, endedAt}: Exchange, {disturbances}: Observations): boolean => disturbances.some(disturbance =>
	!storeFaults.has(disturbance.kind) && overlaps(disturbance, startedAt - disturbanceAftermath, endedAt));

/** Whether a request's connection broke after a host had read the request: once it was executed, or later than a request waits to be read. */
const isCut = ({attempt, outcome}: Exchange, executed: ReadonlySet<string>): boolean =>
	outcome.kind === 'broken' && (executed.has(attempt) || outcome.sentFor > readingTime);

const getGuarantee = ({host, startedAt, endedAt}: Exchange, {shutdowns}: Observations): string =>
	shutdowns.some(shutdown => shutdown.host === host && overlaps({from: shutdown.from, to: shutdown.from + plannedStopTime}, startedAt, endedAt))
		? 'a graceful shutdown loses no request'
		: 'a host that runs loses no request';

/** Finds requests whose connections broke although nothing but planned work, or a fault of the store, overlapped them. */
export const checkLosses = (observations: Observations): Violation[] => {
	const executed = new Set(observations.executions.map(({attempt}) => attempt));
	return observations.calls.flatMap(({kind, exchanges}) => exchanges
		.filter(exchange => isCut(exchange, executed) && !isExcused(exchange, observations))
		.map(exchange => ({
			attempt: exchange.attempt,
			guarantee: getGuarantee(exchange, observations),
			detail: `${kind} at ${describeExchange(exchange)}; ${executed.has(exchange.attempt) ? 'executed' : 'not executed'}`,
		})));
};
