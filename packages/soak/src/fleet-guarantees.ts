import type {Milliseconds} from '@gentianlift/types';
import {limitedRate, restSeconds} from './upstream-protocol.js';
import {
	disturbanceAftermath, overlaps, type BoundArrival, type Call, type Interval, type Observations, type Violation,
} from './guarantees.js';

/** Time after which hosts have to keep to what they have been told. */
const stableTime: Milliseconds = 3000;
/** Crash of a part from which on its requests are judged, from 0, and how many may still reach upstreams. */
const judgedCrashIndex = 2;
const maxLateExecutions = 3;
/** Window in which arrivals at a limited upstream are counted, and what it may get there. */
const limitWindow: Milliseconds = 4000;
const limitTolerance = 1.5;
const limitSlack = 5;

/** Whether a host, or any if it isn't known, was stopping, paused or away at a time or shortly before it. */
const isDisturbed = (host: number | undefined, at: Milliseconds, {outages}: Observations): boolean =>
	outages.some(interval => (host === undefined || interval.host === host) && overlaps(interval, at - disturbanceAftermath, at));

/** Returns the hosts to which requests were sent, by request. */
const getHostsOfRequests = (calls: readonly Call[]): Map<string, number> =>
	new Map(calls.flatMap(({exchanges}) => exchanges.map(({attempt, host}): [string, number] => [attempt, host])));

/** Finds parts that reached upstreams too often after they had crashed several, sent by hosts that had been undisturbed. */
export const checkPartCrashes = (observations: Observations): Violation[] => {
	const parts = [...new Set(observations.partCrashes.map(({part}) => part))];
	return parts.flatMap(part => {
		const judgedCrash = observations.partCrashes.filter(crash => crash.part === part).at(judgedCrashIndex);
		if (judgedCrash === undefined) {
			return [];
		}

		const hosts = getHostsOfRequests(observations.calls.filter(call => call.part === part));
		const late = observations.executions.filter(({attempt, at}) =>
			hosts.has(attempt) && at > judgedCrash.at + stableTime && !isDisturbed(hosts.get(attempt), at, observations));
		return late.length > maxLateExecutions
			? [{guarantee: 'a part that crashes upstreams is blocked', attempt: late[0]?.attempt ?? part, detail: `${part}: ${late.length} executions ${stableTime} ms after its third crash or later`}]
			: [];
	});
};

/** Finds upstreams that got more requests than the limit that they named, in a time without disturbed hosts. */
export const checkLimits = (observations: Observations): Violation[] => {
	const allowed = (limitTolerance * limitedRate * limitWindow / 1000) + limitSlack;
	const episodes = [...new Set(observations.limitedArrivals.map(({episode}) => episode))];
	return episodes.flatMap(episode => {
		const times = observations.limitedArrivals.filter(arrival => arrival.episode === episode).map(({at}) => at);
		const judged = times.filter(at => at >= (times[0] ?? 0) + stableTime);
		const excess = judged.find(from => {
			const count = judged.filter(at => at >= from && at < from + limitWindow).length;
			return count > allowed && !isDisturbed(undefined, from, observations) && !isDisturbed(undefined, from + limitWindow, observations);
		});
		const guarantee = 'an upstream gets no more than its limit';
		return excess === undefined ? [] : [{guarantee, attempt: episode, detail: `over ${allowed} arrivals in ${limitWindow} ms from ${Math.round(excess)}`}];
	});
};

/** Part of what the other hosts serve that partitioned hosts have to serve, and how many calls may fail there, as a number and a part of all. */
const partitionServedPart = 2 / 3;
const partitionSlack = 10;
const partitionFailedPart = 1 / 50;

const isServed = ({outcome}: Call): boolean => outcome.kind === 'answered' && outcome.status === 200 && outcome.isOwn;

/** Returns the part of calls that were served; at least one call is needed. */
const getServedPart = (calls: readonly Call[]): number => calls.filter(call => isServed(call)).length / calls.length;

const describeServed = (calls: readonly Call[]): string => `${calls.filter(call => isServed(call)).length} of ${calls.length}`;

/** Whether some hosts' calls are served far less than those of the others; without calls of others, there is nothing to compare with. */
const isUnequal = (partitioned: readonly Call[], others: readonly Call[]): boolean => {
	if (partitioned.length === 0 || others.length === 0) {
		return false;
	}

	const failed = partitioned.filter(call => !isServed(call)).length;
	const allowed = partitionSlack + (partitionFailedPart * (partitioned.length + others.length));
	return getServedPart(partitioned) < partitionServedPart * getServedPart(others) && failed > allowed;
};

/** Returns the calls within a period that came to hosts which were neither starting nor stopping nor paused. */
const getCallsOfUndisturbed = ({from, to}: Interval, observations: Observations): Call[] =>
	observations.calls.filter(({host, startedAt, endedAt}) =>
		startedAt >= from && endedAt <= to && [startedAt, endedAt].every(at => !isDisturbed(host, at, observations)));

/** A period in which a fault concerns some hosts only. */
type HostsPeriod = Interval & {hosts: readonly number[]};

/** Finds periods, of one kind, in which the hosts concerned served their callers far less than the others did theirs. */
const checkServedAlike = (periods: readonly HostsPeriod[], settlingTime: Milliseconds, guarantee: string, observations: Observations): Violation[] => periods.flatMap(({hosts, from, to}) => {
	const isConcerned = (host: number): boolean => periods.some(other => other.hosts.includes(host) && overlaps(other, from, to));
	const calls = getCallsOfUndisturbed({from: from + settlingTime, to}, observations);
	const concerned = calls.filter(({host}) => hosts.includes(host));
	const others = calls.filter(({host}) => !isConcerned(host));
	return isUnequal(concerned, others)
		? [{
			guarantee,
			attempt: concerned.find(call => !isServed(call))?.attempt ?? '',
			detail: `hosts ${hosts.join(', ')} served ${describeServed(concerned)} calls, the others ${describeServed(others)}`,
		}]
		: [];
});

/** Finds partitions in which the partitioned hosts served their callers far less than the others did theirs. */
export const checkPartitions = (observations: Observations): Violation[] =>
	checkServedAlike(observations.partitions, stableTime, 'partitioned hosts serve their callers', observations);

/** Finds hosts that served their callers far less than the others did, while odd callers sent them large or unfinished bodies. */
export const checkOddBodies = (observations: Observations): Violation[] =>
	checkServedAlike(observations.oddBodies, 0, 'hosts with odd callers serve the others', observations);

/** Time from an answer that asks for rest on in which requests may have been under way, and how many may come until the rest ends. */
const restSlack: Milliseconds = 500;
const maxRestArrivals = 2;
/** Time after an answer that says that its upstream leaves in which that may still get requests from the host. */
const drainTime: Milliseconds = 2000;

const countAllowed: Record<BoundArrival['kind'], {from: Milliseconds; to: Milliseconds; most: number}> = {
	resting: {from: restSlack, to: restSeconds * 1000, most: maxRestArrivals},
	announcing: {from: drainTime, to: Number.POSITIVE_INFINITY, most: 0},
};

const describeBound: Record<BoundArrival['kind'], string> = {
	resting: 'an upstream that asks for rest gets it', announcing: 'an upstream that says that it leaves gets no requests',
};

/** Finds upstreams that a host which had been undisturbed didn't leave alone, although they had told it to. */
export const checkBounds = (observations: Observations): Violation[] => {
	const hosts = getHostsOfRequests(observations.calls);
	const getHost = ({attempt}: BoundArrival): number | undefined => hosts.get(attempt);
	/** Whether another host may have sent a request on for its own, which was partitioned. */
	const isIndirect = (host: number, at: Milliseconds): boolean => observations.partitions.some(partition => partition.hosts.includes(host) && overlaps(partition, at - stableTime, at));
	const judged = observations.boundArrivals.filter(arrival => {
		const host = getHost(arrival);
		return host !== undefined && !isIndirect(host, arrival.at) && !isDisturbed(host, arrival.at, observations);
	});
	return judged.flatMap(first => {
		const {from, to, most} = countAllowed[first.kind];
		const late = judged.filter(other => other.episode === first.episode && getHost(other) === getHost(first) && other.at > first.at + from && other.at < first.at + to);
		return late.length > most
			? [{
				guarantee: describeBound[first.kind], attempt: late.at(-1)?.attempt ?? first.attempt,
				detail: `${first.episode}: ${late.length} requests from host ${getHost(first)} after ${first.attempt}`,
			}]
			: [];
	});
};
