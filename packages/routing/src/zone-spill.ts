import type {Random} from '@gentianlift/clock';
import type {Milliseconds, Zone} from '@gentianlift/types';
import type {ZoneLoad} from './zone-load.js';

/** Part of the calls that leave a zone which go to another one; the parts of all zones add up to 1. */
export type SpillTarget = {zone: Zone; part: number};

/** How many of a zone's calls leave it, and to where. */
export type ZoneSpill
	/** The calls that wait in the zone are within the limit, or no other zone has room for them. */
	= | {kind: 'stays'; reason: 'in-time' | 'no-room'}
		/** A share of the calls, from 0 to 1, leaves. */
		| {kind: 'leaves'; share: number; targets: readonly SpillTarget[]};

/** What the decision about a zone's calls is made from. */
export type ZoneSpillInput = {
	/** Availability zone of the calls. */
	zone: Zone;
	/** Loads of all zones at each limit that is tried, the strictest first; a later one counts if no zone has room at those before it. */
	levels: ReadonlyArray<readonly ZoneLoad[]>;
	/** Age of what is known of the loads. */
	reportAge: Milliseconds;
};

/** Age of the load reports from which they say nothing of an upstream's present load. */
export const maxReportAge: Milliseconds = 1000;

/** Returns the capacity by which a zone is above its limit. */
const getExcess = ({capacity, fill}: ZoneLoad): number => Math.max(0, fill - 1) * capacity;

/** Returns the capacity by which a zone is below its limit, less a margin that grows with the age of the reports. */
const getRoom = ({capacity, fill}: ZoneLoad, reportAge: Milliseconds): number =>
	Math.max(0, 1 - (reportAge / maxReportAge) - fill) * capacity;

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

const decideAtLevel = (zone: Zone, loads: readonly ZoneLoad[], reportAge: Milliseconds): ZoneSpill => {
	const own = loads.find(load => load.zone === zone);
	const ownExcess = own === undefined ? 0 : getExcess(own);
	if (own === undefined || ownExcess === 0) {
		return {kind: 'stays', reason: 'in-time'};
	}

	const rooms = loads.map(load => ({zone: load.zone, room: getRoom(load, reportAge)})).filter(({room}) => room > 0);
	const totalRoom = sum(rooms.map(({room}) => room));
	if (totalRoom === 0) {
		return {kind: 'stays', reason: 'no-room'};
	}

	// Each overloaded zone takes its part of the room, so that all together don't exceed it.
	const granted = Math.min(1, totalRoom / sum(loads.map(load => getExcess(load))));
	return {
		kind: 'leaves',
		share: granted * ownExcess / (own.fill * own.capacity),
		targets: rooms.map(({zone: target, room}) => ({zone: target, part: room / totalRoom})),
	};
};

/** Decides what share of a zone's calls leaves: the excess that finds room, in proportion to the room. All hosts with the same reports decide the same. */
export const decideZoneSpill = ({zone, levels, reportAge}: ZoneSpillInput): ZoneSpill => {
	let spill: ZoneSpill = {kind: 'stays', reason: 'in-time'};
	for (const loads of levels) {
		spill = decideAtLevel(zone, loads, reportAge);
		if (spill.kind === 'leaves' || spill.reason === 'in-time') {
			return spill;
		}
	}

	return spill;
};

/** Draws the zone that a call leaves to; undefined if it stays. */
export const drawZone = (spill: ZoneSpill, random: Random): Zone | undefined => {
	if (spill.kind === 'stays' || random.next() >= spill.share) {
		return undefined;
	}

	let remaining = random.next();
	for (const {zone, part} of spill.targets) {
		remaining -= part;
		if (remaining < 0) {
			return zone;
		}
	}

	return spill.targets.at(-1)?.zone;
};
