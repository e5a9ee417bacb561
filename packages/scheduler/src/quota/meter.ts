import type {Milliseconds} from '@gentianlift/types';
import type {Limit} from './limits.js';

const second: Milliseconds = 1000;
const leastWait: Milliseconds = 1000;
/** Use over this time is asked for in advance. */
const horizon: Milliseconds = 1000;
/** Time before a host asks again for a level of which nothing was left. */
const levelPause: Milliseconds = 20;
/** How long the last rate stands while the owner can't be reached. */
const lastRateDuration: Milliseconds = 10_000;

/** A host's use of its share of a limit. */
export type Meter = {
	name: string;
	kind: Limit['kind'];
	/** What the host may use: of a rate, the amount left; of a level, all that may be under way. */
	allowed: number;
	expiresAt: Milliseconds;
	/** Things under way, of a level. */
	held: number;
	/** Amounts that requests wait for. */
	pending: number;
	/** Use a second, as a moving mean. */
	rate: number;
	/** Moment up to which the rate is counted. */
	countedTo: Milliseconds;
	/** Use since then. */
	used: number;
	/** The owner has none left before this moment. */
	emptyUntil: Milliseconds;
	/** Moment of the last answer of the owner; 0 before the first. */
	answeredAt: Milliseconds;
	usedAt: Milliseconds;
};

/** Creates a meter of which the owner hasn't heard yet. */
export const createMeter = ({name, kind}: Limit, now: Milliseconds): Meter => ({
	name, kind, allowed: 0, expiresAt: 0, held: 0, pending: 0, rate: 0, countedTo: now, used: 0, emptyUntil: 0, answeredAt: 0, usedAt: now,
});

/** Drops a share that has ended. A debt stays, and so does a level's share: what is under way is under way. */
export const applyTime = (meter: Meter, now: Milliseconds): void => {
	const elapsed = now - meter.countedTo;
	if (elapsed >= horizon) {
		meter.rate = (meter.rate + (meter.used / elapsed * second)) / 2;
		meter.used = 0;
		meter.countedTo = now;
	}

	if (now >= meter.expiresAt && meter.kind === 'rate') {
		meter.allowed = Math.min(0, meter.allowed);
	}
};

/** Whether an amount stays within the share. Asking for nothing needs a share that isn't used up. */
export const hasRoom = (meter: Meter, amount: number, now: Milliseconds): boolean =>
	meter.kind === 'level' ? meter.held + amount <= meter.allowed && now < meter.expiresAt : meter.allowed >= Math.max(1, amount);

/** Whether an amount can't be taken. Nothing can be taken from a rate until its owner has none left, whatever this host's share. */
export const isRefused = (meter: Meter, amount: number, now: Milliseconds): boolean =>
	meter.kind === 'rate' && amount === 0 ? now < meter.emptyUntil && meter.allowed < 1 : !hasRoom(meter, amount, now);

/** Counts use; a rate may go into debt, which the owner then takes from everybody's. */
export const take = (meter: Meter, amount: number, now: Milliseconds): void => {
	meter.used += amount;
	meter.usedAt = now;
	if (meter.kind === 'level') {
		meter.held += amount;
	} else {
		meter.allowed -= amount;
	}
};

/** Gets what to ask the owner for. */
export const getWish = (meter: Meter): {limit: string; used: number; wanted: number} => meter.kind === 'level'
	? {limit: meter.name, used: meter.held, wanted: meter.held + meter.pending}
	: {limit: meter.name, used: Math.max(0, -meter.allowed), wanted: Math.ceil(Math.max(1, meter.pending + (meter.rate * horizon / second)) - Math.max(0, meter.allowed))};

/** Takes in the owner's answer. An answer of nothing says when to ask again. */
export const applyShare = (meter: Meter, share: {allowed: number; duration: Milliseconds}, asked: {used: number; wanted: number}, now: Milliseconds): void => {
	meter.answeredAt = now;
	if (meter.kind === 'level') {
		meter.allowed = share.allowed;
		meter.expiresAt = now + share.duration;
		meter.emptyUntil = share.allowed < asked.wanted ? now + levelPause : 0;
		return;
	}

	meter.allowed += share.allowed + asked.used;
	if (share.allowed > 0) {
		meter.expiresAt = now + share.duration;
	} else {
		meter.emptyUntil = now + share.duration;
	}
};

/** Lets a host go on without the owner: at its last rate for a while, then at an even share of the limit. */
export const applyAlone = (meter: Meter, evenShare: number, now: Milliseconds): void => {
	if (meter.kind === 'level') {
		meter.allowed = Math.max(1, Math.floor(evenShare));
		meter.expiresAt = now + horizon;
		return;
	}

	const rate = now - meter.answeredAt < lastRateDuration ? Math.max(meter.rate, evenShare) : evenShare;
	meter.allowed = Math.min(0, meter.allowed) + (rate * horizon / second);
	meter.expiresAt = now + horizon;
	meter.emptyUntil = now + horizon;
};

/** Gets the time after which a refused amount may be free. */
export const getRetryAfter = (meter: Meter, now: Milliseconds): Milliseconds => Math.max(leastWait, meter.emptyUntil - now);
