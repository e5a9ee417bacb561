import type {Milliseconds, Zone} from '@gentianlift/types';

/** Need for upstreams of a service, as observed over time. */
export type Need = {
	/** Upstreams that are needed: the highest number of the hold period, a fraction. */
	upstreams: number;
	/** The highest number of the recent period. */
	recent: number;
	/** The highest number of the last half of that period. */
	latest: number;
	/** Part of the demand by zone. */
	shares: ReadonlyMap<Zone, number>;
	/** Whether traffic has been watched for the hold period, so that capacity may be given back. */
	isKnown: boolean;
};

/** An observation: the upstreams needed at a time, a fraction, and whether there is traffic. */
export type NeedSample = {at: Milliseconds; upstreams: number; hasTraffic: boolean};

/** What a host remembers of the need of a service. */
export type NeedHistory = {
	add: (sample: NeedSample) => void;
	/** Adds parts of the demand by zone, which are empty without traffic. */
	addShares: (shares: ReadonlyMap<Zone, number>, at: Milliseconds) => void;
	/** Returns the smoothed need of the last sample. */
	getLast: () => number;
	get: (now: Milliseconds) => Need;
};

/** Time in which the smoothed need approaches a changed one. */
const smoothingTime: Milliseconds = 800;
/** Longest time between two samples for which the host counts as watching. */
const maxSampleGap: Milliseconds = 3000;
/** Number of maxima that are kept of the samples of a hold period. */
const maximaPerPeriod = 100;
/** Hold periods without any traffic after which none is expected. */
const idlePeriods = 10;

const smooth = (before: number, next: number, elapsed: Milliseconds, time: Milliseconds): number =>
	next + ((before - next) * Math.exp(-elapsed / time));

/** Periods for which a need is held after it has fallen: for upstreams of any kind, and for those that cost most. */
export type HoldPeriods = {holdPeriod: Milliseconds; recentPeriod: Milliseconds};

/** Creates a history without samples. */
export const createNeedHistory = ({holdPeriod, recentPeriod}: HoldPeriods): NeedHistory => {
	/** The highest needs of equal parts of the hold period, each with the time at which its part began. */
	let maxima: Array<{since: Milliseconds; upstreams: number}> = [];
	const partLength = holdPeriod / maximaPerPeriod;
	let shares = new Map<Zone, number>();
	let sharedAt = 0;
	let last: {at: Milliseconds; upstreams: number} | undefined;
	/** When watching, and traffic, began. */
	let watchedSince = Number.POSITIVE_INFINITY;
	let trafficSince = Number.POSITIVE_INFINITY;

	const getHighest = (from: Milliseconds): number => Math.max(0, ...maxima.filter(({since}) => since + partLength >= from).map(({upstreams}) => upstreams));

	const addMaximum = (at: Milliseconds, upstreams: number): void => {
		const newest = maxima.at(-1);
		if (newest !== undefined && at - newest.since < partLength) {
			newest.upstreams = Math.max(newest.upstreams, upstreams);
			return;
		}

		maxima = [...maxima.filter(({since}) => at - since < holdPeriod), {since: at, upstreams}];
	};

	const restart = (at: Milliseconds): void => {
		maxima = [];
		last = undefined;
		watchedSince = at;
		trafficSince = Number.POSITIVE_INFINITY;
	};

	return {
		add({at, upstreams, hasTraffic}) {
			if (last === undefined || at - last.at > maxSampleGap) {
				restart(at);
			}

			last = {at, upstreams: last === undefined ? upstreams : smooth(last.upstreams, upstreams, at - last.at, smoothingTime)};
			addMaximum(at, last.upstreams);
			trafficSince = hasTraffic ? Math.min(trafficSince, at) : trafficSince;
		},
		addShares(next, at) {
			if (next.size === 0) {
				return;
			}

			const isFirst = shares.size === 0;
			const elapsed = at - sharedAt;
			sharedAt = at;
			shares = new Map([...new Set([...shares.keys(), ...next.keys()])].map(zone => {
				const share = next.get(zone) ?? 0;
				return [zone, isFirst ? share : smooth(shares.get(zone) ?? 0, share, elapsed, holdPeriod)];
			}));
		},
		getLast: () => last?.upstreams ?? 0,
		get: now => ({
			upstreams: getHighest(Number.NEGATIVE_INFINITY),
			recent: getHighest(now - recentPeriod),
			latest: getHighest(now - (recentPeriod / 2)),
			shares,
			isKnown: now - trafficSince >= holdPeriod || now - watchedSince >= holdPeriod * idlePeriods,
		}),
	};
};
