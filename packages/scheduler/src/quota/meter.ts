import type {Milliseconds} from '@gentianlift/types';
import type {QuotaLimit} from './limits.js';

const second: Milliseconds = 1000;
/** Minimum delay given to a refused request. */
const minRetryAfter: Milliseconds = 1000;
/** Time over which use is averaged, for which it is requested in advance, and for which a fallback share lasts. */
const usageWindow: Milliseconds = 1000;
/** Delay before a host again requests a level that was exhausted. */
const levelRetryDelay: Milliseconds = 20;
/** How long after the owner's last answer a host may go on using a limit at its own last rate. */
const lastRateExpiry: Milliseconds = 10_000;

/** A host's share of a limit and its use. */
export type Meter = {
	name: string;
	kind: QuotaLimit['kind'];
	/** Amount that the host may use: of a rate, what is left; of a level, the maximum in use at one time. */
	allowed: number;
	expiresAt: Milliseconds;
	/** Amount of a level that is in use. */
	inUse: number;
	/** Amount that waiting requests need. */
	pendingAmount: number;
	/** Use per second, as a moving average. */
	usageRate: number;
	/** Time up to which `usageRate` is computed. */
	measuredUntil: Milliseconds;
	/** Use since `measuredUntil`. */
	recentUse: number;
	/** Time before which the owner has nothing left to allocate. */
	exhaustedUntil: Milliseconds;
	/** Time of the owner's last answer; 0 before the first. */
	lastAnswerAt: Milliseconds;
	lastUsedAt: Milliseconds;
};

/** Creates a meter without a share. */
export const createMeter = ({name, kind}: QuotaLimit, now: Milliseconds): Meter => ({
	name, kind, allowed: 0, expiresAt: 0, inUse: 0, pendingAmount: 0, usageRate: 0, measuredUntil: now, recentUse: 0, exhaustedUntil: 0, lastAnswerAt: 0, lastUsedAt: now,
});

/** Updates the usage rate, and drops the expired share of a rate. A debt stays, and so does the share of a level, since it may still be in use. */
export const advanceMeter = (meter: Meter, now: Milliseconds): void => {
	const elapsed = now - meter.measuredUntil;
	if (elapsed >= usageWindow) {
		meter.usageRate = (meter.usageRate + (meter.recentUse / elapsed * second)) / 2;
		meter.recentUse = 0;
		meter.measuredUntil = now;
	}

	if (now >= meter.expiresAt && meter.kind === 'rate') {
		meter.allowed = Math.min(0, meter.allowed);
	}
};

/** Whether an amount fits the share. An amount of 0 of a rate fits only if the share isn't used up. */
export const hasRoom = (meter: Meter, amount: number, now: Milliseconds): boolean =>
	meter.kind === 'level' ? meter.inUse + amount <= meter.allowed && now < meter.expiresAt : meter.allowed >= Math.max(1, amount);

/** Whether an amount must be refused. An amount of 0 of a rate is refused only once the owner has nothing left, even if this host's share is used up. */
export const isRefused = (meter: Meter, amount: number, now: Milliseconds): boolean =>
	meter.kind === 'rate' && amount === 0 ? now < meter.exhaustedUntil && meter.allowed < 1 : !hasRoom(meter, amount, now);

/** Records use. A rate may go into debt, which the owner then deducts from the amount left for all hosts. */
export const recordUse = (meter: Meter, amount: number, now: Milliseconds): void => {
	meter.recentUse += amount;
	meter.lastUsedAt = now;
	if (meter.kind === 'level') {
		meter.inUse += amount;
	} else {
		meter.allowed -= amount;
	}
};

/** Returns the meter's use and demand for a request to the owner. */
export const getDemand = (meter: Meter): {limit: string; used: number; wanted: number} => meter.kind === 'level'
	? {limit: meter.name, used: meter.inUse, wanted: meter.inUse + meter.pendingAmount}
	: {limit: meter.name, used: Math.max(0, -meter.allowed), wanted: Math.ceil(Math.max(1, meter.pendingAmount + (meter.usageRate * usageWindow / second)) - Math.max(0, meter.allowed))};

/** Applies the owner's answer. An answer that allows nothing states when to request again. */
export const applyShare = (meter: Meter, share: {allowed: number; duration: Milliseconds}, demand: {used: number; wanted: number}, now: Milliseconds): void => {
	meter.lastAnswerAt = now;
	if (meter.kind === 'level') {
		meter.allowed = share.allowed;
		meter.expiresAt = now + share.duration;
		meter.exhaustedUntil = share.allowed < demand.wanted ? now + levelRetryDelay : 0;
		return;
	}

	meter.allowed += share.allowed + demand.used;
	if (share.allowed > 0) {
		meter.expiresAt = now + share.duration;
	} else {
		meter.exhaustedUntil = now + share.duration;
	}
};

/** Sets a fallback share while the owner can't be reached: at the host's last rate for a while, then an even share of the limit. */
export const applyFallbackShare = (meter: Meter, evenShare: number, now: Milliseconds): void => {
	if (meter.kind === 'level') {
		meter.allowed = Math.max(1, Math.floor(evenShare));
		meter.expiresAt = now + usageWindow;
		return;
	}

	const rate = now - meter.lastAnswerAt < lastRateExpiry ? Math.max(meter.usageRate, evenShare) : evenShare;
	meter.allowed = Math.min(0, meter.allowed) + (rate * usageWindow / second);
	meter.expiresAt = now + usageWindow;
	meter.exhaustedUntil = now + usageWindow;
};

/** Returns the time after which a refused amount may be available. */
export const getRetryAfter = (meter: Meter, now: Milliseconds): Milliseconds => Math.max(minRetryAfter, meter.exhaustedUntil - now);
