import {
	createManualClock, createRandom, type ManualClock, type Random,
} from '@gentianlift/clock';
import {chooseHosts, type HostRecord} from '@gentianlift/discovery';
import {createSilentLogger} from '@gentianlift/logger';
import type {LimitNews} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import {countMostArrivals} from './testing-limits.js';
import {createUpstreamLimits, type UpstreamLimits} from './upstream-limits.js';

/** A fleet whose hosts share one limited engine. */
export type LimitDayOptions = {
	hosts: number;
	/** Time in which a host's news reaches the others. */
	reportDelay: Milliseconds;
	/** Requests a second that the fleet would send to the engine. */
	demand: number;
	/** Requests a second that the engine names, from time 0 on. */
	limit: number;
	/** When the engine stops to name its limit; never by default. */
	endsAt?: Milliseconds;
	/** Part of the news that is lost. */
	lossRatio: number;
	seed: number;
	/** When hosts stop and are back, each with all that they knew forgotten. */
	restarts?: ReadonlyArray<{host: number; downAt: Milliseconds; upAt: Milliseconds}>;
};

/** What the engine has counted. */
export type LimitDay = {
	/** Most arrivals in a window of 4 s, from 3 s on. */
	mostArrivals: number;
	/** Arrivals from 3 s on, in relation to those that the limit allows. */
	usedFraction: number;
	/** Hosts that still believe in a limit at the end of the day. */
	limitedHosts: number;
};

const upstream = 'engine@1';
const dayLength: Milliseconds = 15_000;
const stepTime: Milliseconds = 20;
/** Time until the other hosts no longer count on a host that has stopped. */
const detectionDelay: Milliseconds = 1600;
/** Time from a request to the head of its answer. */
const answerTime: Milliseconds = 60;
const boundFrom: Milliseconds = 3000;
const repeatInterval: Milliseconds = 500;

type DayState = {options: LimitDayOptions; clock: ManualClock; random: Random; hosts: UpstreamLimits[]; arrivals: Milliseconds[]};

const buildRecord = (index: number): HostRecord => ({
	host: `h${index}`, incarnation: 1, zone: 'a', callers: '', peers: '', notes: '', strength: 1, isStopping: false,
});

const isDown = ({restarts = []}: LimitDayOptions, host: number, now: Milliseconds): boolean =>
	restarts.some(restart => restart.host === host && now >= restart.downAt && now < restart.upAt);

/** Returns the hosts that one takes for available: each notices late that another is gone. */
const getAvailable = ({options}: DayState, now: Milliseconds): HostRecord[] =>
	Array.from({length: options.hosts}, (_, index) => index).filter(index => !isDown(options, index, now) || !isDown(options, index, now - detectionDelay)).map(index => buildRecord(index));

const deliver = ({options, clock, random, hosts}: DayState, from: number, news: LimitNews): void => {
	clock.after(options.reportDelay, () => {
		for (const [index, host] of hosts.entries()) {
			if (index !== from && random.next() >= options.lossRatio) {
				host.applyNews({...news, age: news.age + options.reportDelay}, `h${from}`);
			}
		}
	});
};

const startHost = (state: DayState, index: number): UpstreamLimits => createUpstreamLimits({
	clock: state.clock,
	logger: createSilentLogger(),
	countHosts: () => state.options.hosts,
	isAmongChosenHosts: (key, count) => chooseHosts(key, getAvailable(state, state.clock.monotonic()), count).includes(`h${index}`),
	announce(news) {
		deliver(state, index, news);
	},
});

const sendRequest = ({options, clock, random, hosts, arrivals}: DayState): void => {
	const index = Math.floor(random.next() * options.hosts);
	const host = hosts[index]!;
	if (isDown(options, index, clock.monotonic()) || !host.hasPermit(upstream) || !host.claim(upstream).take()) {
		return;
	}

	const sentAt = clock.monotonic();
	arrivals.push(sentAt);
	clock.after(answerTime, () => {
		const isLimited = clock.monotonic() < (options.endsAt ?? Number.POSITIVE_INFINITY);
		hosts[index]!.observe({upstream, statement: isLimited ? {kind: 'rate', perSecond: options.limit} : {kind: 'none'}, sentAt});
	});
};

const restartHosts = (state: DayState, now: Milliseconds): void => {
	for (const {host, upAt} of state.options.restarts ?? []) {
		if (upAt >= now && upAt < now + stepTime) {
			state.hosts[host] = startHost(state, host);
		}
	}
};

/** Plays a day of a fleet with one limited engine. */
export const playLimitDay = async (options: LimitDayOptions): Promise<LimitDay> => {
	const state: DayState = {
		options, clock: createManualClock(0), random: createRandom(options.seed), hosts: [], arrivals: [],
	};
	state.hosts.push(...Array.from({length: options.hosts}, (_, index) => startHost(state, index)));
	for (let now = 0; now < dayLength; now += stepTime) {
		restartHosts(state, now);
		for (let due = options.demand * stepTime / 1000; due > 0; due--) {
			if (due >= 1 || state.random.next() < due) {
				sendRequest(state);
			}
		}

		if (now % repeatInterval === 0) {
			for (const [index, host] of state.hosts.entries()) {
				for (const news of isDown(options, index, now) ? [] : host.getNews()) {
					deliver(state, index, news);
				}
			}
		}

		// eslint-disable-next-line no-await-in-loop -- The clock advances in steps.
		await state.clock.advance(stepTime);
	}

	const counted = state.arrivals.filter(at => at >= boundFrom);
	return {
		mostArrivals: countMostArrivals(state.arrivals, boundFrom),
		usedFraction: counted.length / (options.limit * (dayLength - boundFrom) / 1000),
		limitedHosts: state.hosts.filter(host => host.isLimited(upstream)).length,
	};
};
