import type {Milliseconds} from '@gentianlift/types';
import type {UpstreamKey} from './upstream.js';

/** Requests a second that an upstream takes from all hosts together; undefined once it names no limit any more. */
export type RequestLimit = number | undefined;

/** What a host knows of an upstream's limit, and the time since an answer said so. */
export type LimitNews = {upstream: UpstreamKey; limit: RequestLimit; age: Milliseconds};

/** Lowest rate at which hosts send to a limited upstream; with less, nobody would learn when its limit ends. */
const minRate = 0.1;
/** Requests a second that make a share worth its own host; each host with one has enough requests to use it. */
const ratePerHost = 1;

/** Returns the number of hosts that share an upstream's limit. */
export const countLimitHosts = (limit: number, hosts: number): number => Math.max(1, Math.min(hosts, Math.round(limit / ratePerHost)));

/** Returns the requests a second that each of the hosts which share a limit may send. */
export const getLimitShare = (limit: number, hosts: number): number => Math.max(minRate, limit) / countLimitHosts(limit, hosts);

const millisecondsPerSecond = 1000;
/** Time whose permits may be saved up, at least one; short, so that requests don't come in a burst. */
const maxSavingTime: Milliseconds = 250;

/** Permits to send requests at a rate, as of `updatedAt`. */
export type Permits = {available: number; updatedAt: Milliseconds};

/** Creates permits of which none is available yet. */
export const createPermits = (now: Milliseconds): Permits => ({available: 0, updatedAt: now});

/** Returns the permits at a later time, at a rate in permits a second. */
export const refillPermits = ({available, updatedAt}: Permits, rate: number, now: Milliseconds): Permits => {
	const added = (now - updatedAt) * rate / millisecondsPerSecond;
	const maxPermits = Math.max(1, maxSavingTime * rate / millisecondsPerSecond);
	return {available: Math.min(maxPermits, available + added), updatedAt: now};
};

/** Returns the time until `count` permits have become available, one after the other. */
export const getTimeToPermits = ({available}: Permits, rate: number, count: number): Milliseconds =>
	rate === 0 ? Number.POSITIVE_INFINITY : Math.max(0, count - available) * millisecondsPerSecond / rate;
