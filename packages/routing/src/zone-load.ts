import type {Milliseconds, Zone} from '@gentianlift/types';
import type {Candidate} from './choose-upstream.js';

/** Load of one availability zone's upstreams, as it concerns a kind of call. */
export type ZoneLoad = {
	zone: Zone;
	/** Rate of the upstreams together: prompt tokens per millisecond, or slots for a service without prompts. */
	capacity: number;
	/** Load in relation to the limit, as the mean over the upstreams weighted by capacity: 1 is at the limit, `maxFill` is the most. */
	fill: number;
};

/** Kind of call whose load is measured. */
export type ZoneLoadQuery = {
	hasPrompt: boolean;
	/** Longest wait for an upstream that is within the limit; of no effect without prompts. */
	allowedWait: Milliseconds;
};

/** Most that one upstream counts, so that a few with long queues don't make a zone look full whose others are idle. */
export const maxFill = 2;
/** Ratio of failures from which an upstream doesn't count as capacity. */
const maxFailureRatio = 0.5;

/** Whether an upstream is likely to serve a request. */
export const isServing = ({failureRatio}: Candidate): boolean => failureRatio < maxFailureRatio;

const getCapacity = ({upstream, prefillRate, relativeLatency}: Candidate, hasPrompt: boolean): number =>
	hasPrompt ? prefillRate : upstream.slots / relativeLatency;

const getFill = ({upstream, load, backlog, queueDelay}: Candidate, {hasPrompt, allowedWait}: ZoneLoadQuery): number => {
	const slotFill = load.running / upstream.slots;
	if (!hasPrompt) {
		return Math.min(maxFill, slotFill);
	}

	return slotFill >= 1 ? maxFill : Math.min(maxFill, (backlog + queueDelay) / allowedWait);
};

/** Returns the upstreams of a zone without those that are reserved for latency-sensitive streams, unless all are. */
const getUnreserved = (candidates: readonly Candidate[]): readonly Candidate[] => {
	const unreserved = candidates.filter(({isReserved}) => !isReserved);
	return unreserved.length === 0 ? candidates : unreserved;
};

const groupByZone = (candidates: readonly Candidate[]): Map<Zone, Candidate[]> => {
	const zones = new Map<Zone, Candidate[]>();
	for (const candidate of candidates) {
		const {zone} = candidate.upstream;
		const group = zones.get(zone) ?? [];
		group.push(candidate);
		zones.set(zone, group);
	}

	return zones;
};

/** Returns the load of each zone that has an upstream which is likely to serve. */
export const measureZoneLoads = (candidates: readonly Candidate[], query: ZoneLoadQuery): ZoneLoad[] => {
	const zones = groupByZone(candidates.filter(candidate => isServing(candidate)));
	return [...zones].map(([zone, group]) => {
		let capacity = 0;
		let load = 0;
		for (const candidate of getUnreserved(group)) {
			const ofCandidate = getCapacity(candidate, query.hasPrompt);
			capacity += ofCandidate;
			load += getFill(candidate, query) * ofCandidate;
		}

		return {zone, capacity, fill: load / capacity};
	});
};
