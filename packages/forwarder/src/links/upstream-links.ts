import {createRecentAnswers, type Clock, type Random} from '@gentianlift/clock';
import {reportLoopFailure, type HostRecord, type ReachQuery} from '@gentianlift/discovery';
import type {Logger} from '@gentianlift/logger';
import {getUpstreamKey, type Upstream} from '@gentianlift/routing';
import type {HostId, Milliseconds, Zone} from '@gentianlift/types';
import type {ReachSurvey} from './find-reaching-hosts.js';
import {chooseForwardingHost, createForwardedLoads, type ReachingHost} from './forwarding-hosts.js';
import {createReachingHosts, type ReachingHosts} from './reaching-hosts.js';

/** The way that a call takes to the upstreams of its service. */
export type CallPath
	/** Over this host's own links. */
	= | {kind: 'direct'}
	/** Over another host, as this host's links to the upstreams are cut. */
		| {kind: 'over-host'; host: HostRecord}
	/** None: the links are cut, and the call went over all hosts that reach the upstreams. */
		| {kind: 'none'};

/** This host's links to the upstreams of each service. They count as cut while no upstream accepts a connection of this host and another host reaches one; upstreams that no host reaches are away. */
export type UpstreamLinks = {
	/** Checks the links to a service after a sign that one is cut: a connection that failed, or silence. */
	check: (service: string) => void;
	/** Resolves when no check of the service's links is in progress. */
	waitForCheck: (service: string) => Promise<void>;
	/** Records that an upstream of a service has sent bytes to this host. */
	recordContact: (service: string) => void;
	isCut: (service: string) => boolean;
	/** Returns the number of services to which the links are cut. */
	countCut: () => number;
	/** Asks again which hosts reach a service to which the links are cut, unless they were asked just now. */
	renewHosts: (service: string) => Promise<void>;
	/** Returns the path of a call of a service that was forwarded to the hosts `tried` already; it leads over a host that is stopping only if no other one is left. */
	choosePath: (service: string, tried: ReadonlySet<HostId>, isStopping?: (host: HostId) => boolean) => CallPath;
	/** Records that a call is forwarded to a host; returns a function that records its end. */
	beginForwarding: (host: HostId) => () => void;
	/** Whether this host reaches an upstream of a service, or the one that the query names. */
	reaches: (query: ReachQuery) => Promise<boolean>;
	/** Whether no other host reaches an upstream to which this host's connections fail; false, too, if most of those that are asked don't answer. */
	isAwayForOthers: (upstream: Upstream) => Promise<boolean>;
};

/** Dependencies of the links. */
export type UpstreamLinksOptions = {
	clock: Clock;
	random: Random;
	logger: Logger;
	zone: Zone;
	/** Returns the upstreams that run a service and accept requests. */
	getUpstreams: (service: string) => readonly Upstream[];
	/** Tries to connect to an upstream; resolves with whether the connection was established. */
	probe: (upstream: Upstream) => Promise<boolean>;
	/** Asks other hosts whether they reach what a query names. */
	findReachingHosts: (query: ReachQuery) => Promise<ReachSurvey>;
	/** Whether a host has sent no load report for so long that it may be gone. */
	isSilent: (host: HostId) => boolean;
	/** Called when the links to upstreams turn out to be cut, and when they are open again. */
	onChange: (upstreams: readonly Upstream[]) => void;
	/** Called with an upstream that has accepted a connection while the links to its service counted as cut. */
	onReached: (upstream: Upstream) => void;
	/** Called with the name of a loop or check that has failed. */
	onLoopFailure?: (loop: string) => void;
};

type ServiceLinks = {
	isCut: boolean;
	/** Check in progress. */
	check: Promise<void> | undefined;
	checkedAt: Milliseconds;
	contactAt: Milliseconds;
	/** Hosts that reach the upstreams, while the links are cut. */
	hosts: ReachingHosts;
};

/** Number of upstreams to which connections are tried at first, and in all, before the links count as cut. */
const firstProbes = 3;
const maxProbes = 12;
/** Minimum interval between checks that find links open. */
const minCheckInterval: Milliseconds = 500;
/** Interval between rounds of probes while the links are cut. */
const probeInterval: Milliseconds = 400;
/** Rounds in a row in which most probes succeed before the links count as open again. */
const neededGoodRounds = 3;
/** Time after bytes of an upstream in which a host reaches its service without a probe. */
const contactLifetime: Milliseconds = 300;
/** Time in which hosts that ask the same get the result of one probe. */
const probeLifetime: Milliseconds = 100;

const describeHosts = (hosts: readonly ReachingHost[]): string => hosts.map(({record}) => record.host).join(',');

/** Creates links that count as open. */
export const createUpstreamLinks = ({
	clock, random, logger, zone, getUpstreams, probe, findReachingHosts, isSilent, onChange, onReached, onLoopFailure,
}: UpstreamLinksOptions): UpstreamLinks => {
	const services = new Map<string, ServiceLinks>();
	const loads = createForwardedLoads();
	const probes = createRecentAnswers<boolean>(clock, probeLifetime);

	const getLinks = (service: string): ServiceLinks => {
		const known = services.get(service);
		if (known !== undefined) {
			return known;
		}

		const links: ServiceLinks = {
			isCut: false,
			check: undefined,
			checkedAt: Number.NEGATIVE_INFINITY,
			contactAt: Number.NEGATIVE_INFINITY,
			hosts: createReachingHosts({
				clock,
				find: async () => findReachingHosts({service}),
				onChange(hosts) {
					logger.info('reaching-hosts', {service, hosts: describeHosts(hosts)});
				},
			}),
		};
		services.set(service, links);
		return links;
	};

	/** Resolves with true as soon as one of the upstreams accepts a connection. */
	const reachesAny = async (upstreams: readonly Upstream[]): Promise<boolean> => {
		const probes = upstreams.map(async upstream => {
			if (!await probe(upstream)) {
				throw new Error('The upstream accepts no connection.');
			}
		});
		return Promise.any(probes).then(() => true, () => false);
	};

	/** Makes a round of probes while the links are cut; returns whether most of them succeed. */
	const isRoundGood = async (upstreams: readonly Upstream[]): Promise<boolean> => {
		const results = await Promise.all(random.sample(upstreams, firstProbes).map(async upstream => {
			const isReached = await probe(upstream);
			if (isReached) {
				onReached(upstream);
			}

			return isReached;
		}));
		return results.filter(Boolean).length * 2 > results.length;
	};

	const open = (service: string, links: ServiceLinks, cutAt: Milliseconds): void => {
		links.isCut = false;
		links.hosts.set([]);
		onChange(getUpstreams(service));
		logger.warn('links-restored', {service, after: Math.round(clock.monotonic() - cutAt)});
	};

	/** Makes a round and asks hosts again; returns whether most probes succeed. A round that fails is followed by the next one. */
	const makeRound = async (service: string, links: ServiceLinks): Promise<boolean> => {
		try {
			const isGood = await isRoundGood(getUpstreams(service));
			await links.hosts.refresh();
			return isGood;
		} catch (error) {
			reportLoopFailure('watch-cut', error, {logger, onFailure: onLoopFailure});
			return false;
		}
	};

	/** Probes the upstreams until the links are open again; meanwhile keeps the list of hosts that reach them up to date. */
	const watchCut = async (service: string, links: ServiceLinks, cutAt: Milliseconds): Promise<void> => {
		let goodRounds = 0;
		while (goodRounds < neededGoodRounds && getUpstreams(service).length > 0) {
			// eslint-disable-next-line no-await-in-loop -- Rounds are separated by an interval.
			await clock.sleep(probeInterval);
			// eslint-disable-next-line no-await-in-loop -- One round at a time.
			goodRounds = await makeRound(service, links) ? goodRounds + 1 : 0;
		}

		open(service, links, cutAt);
	};

	/** Whether an upstream has sent bytes since a check began and accepts connections by now, so that what the check has found is out of date. */
	const isReachedAgain = async ({contactAt}: ServiceLinks, upstreams: readonly Upstream[], startedAt: Milliseconds): Promise<boolean> =>
		contactAt >= startedAt && reachesAny(upstreams.slice(0, firstProbes));

	const runCheck = async (service: string, links: ServiceLinks): Promise<void> => {
		const startedAt = clock.monotonic();
		const upstreams = random.sample(getUpstreams(service), maxProbes);
		if (upstreams.length === 0 || await reachesAny(upstreams.slice(0, firstProbes)) || await reachesAny(upstreams.slice(firstProbes))) {
			return;
		}

		const {reaching: hosts} = await findReachingHosts({service});
		const details = {
			service, probed: upstreams.length, hosts: describeHosts(hosts), checked: Math.round(clock.monotonic() - startedAt),
		};
		if (hosts.length === 0) {
			logger.warn('upstreams-away', details);
			return;
		}

		if (await isReachedAgain(links, upstreams, startedAt)) {
			return;
		}

		links.isCut = true;
		links.hosts.set(hosts);
		onChange(getUpstreams(service));
		logger.warn('links-cut', details);
		void watchCut(service, links, clock.monotonic());
	};

	return {
		check(service) {
			const links = getLinks(service);
			if (links.isCut || links.check !== undefined || clock.monotonic() - links.checkedAt < minCheckInterval) {
				return;
			}

			const finish = async (): Promise<void> => {
				try {
					await runCheck(service, links);
				} catch (error) {
					reportLoopFailure('check-links', error, {logger, onFailure: onLoopFailure});
				}

				links.check = undefined;
				links.checkedAt = clock.monotonic();
			};

			links.check = finish();
		},
		async waitForCheck(service) {
			await services.get(service)?.check;
		},
		recordContact(service) {
			getLinks(service).contactAt = clock.monotonic();
		},
		isCut: service => services.get(service)?.isCut ?? false,
		countCut: () => [...services.values()].filter(({isCut}) => isCut).length,
		choosePath(service, tried, isStopping = () => false) {
			const links = services.get(service);
			const known = links?.isCut === true ? links.hosts.get() : [];
			if (known.length === 0) {
				return {kind: 'direct'};
			}

			const hosts = known.filter(({record: {host}}) => !tried.has(host) && !isSilent(host));
			const remaining = hosts.filter(({record: {host}}) => !isStopping(host));
			const host = chooseForwardingHost(remaining.length === 0 ? hosts : remaining, {loads, random, zone});
			return host === undefined ? {kind: 'none'} : {kind: 'over-host', host};
		},
		async renewHosts(service) {
			const links = services.get(service);
			if (links?.isCut === true) {
				await links.hosts.renew();
			}
		},
		beginForwarding: loads.begin,
		async reaches({service, upstream}) {
			const upstreams = getUpstreams(service);
			if (upstream !== undefined) {
				const named = upstreams.filter(other => getUpstreamKey(other) === upstream);
				return named.length > 0 && probes.get(`upstream ${upstream}`, async () => reachesAny(named));
			}

			const links = services.get(service);
			if (links?.isCut === true || upstreams.length === 0) {
				return false;
			}

			const contactAt = links?.contactAt ?? Number.NEGATIVE_INFINITY;
			return clock.monotonic() - contactAt < contactLifetime
				|| probes.get(`service ${service}`, async () => reachesAny(random.sample(upstreams, firstProbes)));
		},
		async isAwayForOthers(upstream) {
			const {reaching, isAnswered} = await findReachingHosts({service: upstream.service, upstream: getUpstreamKey(upstream)});
			return reaching.length === 0 && isAnswered;
		},
	};
};
