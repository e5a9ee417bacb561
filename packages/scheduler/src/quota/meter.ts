import type {Milliseconds} from '@gentianlift/types';
import type {Limit} from './limits.js';

const second: Milliseconds = 1000;
const leastWait: Milliseconds = 1000;

/** A host's use of its share of a limit. */
export type Meter = {
	name: string;
	kind: Limit['kind'];
	/** The whole limit, over all hosts. */
	amount: number;
	/** This host's share: a rate a second, or a level. */
	allowed: number;
	expiresAt: Milliseconds;
	/** What a rate may use now; negative after use that was not known before. */
	level: number;
	/** Moment up to which the level is counted. */
	countedTo: Milliseconds;
	/** Things under way. */
	held: number;
	/** Moment of the last exchange; 0 before the first. */
	askedAt: Milliseconds;
	usedAt: Milliseconds;
	/** Use and refusals since the last exchange. */
	usedSince: number;
	denied: number;
};

/** Creates a meter with a share that the owner hasn't confirmed. */
export const createMeter = ({name, kind, amount}: Limit, allowed: number, now: Milliseconds): Meter => ({
	name, kind, amount, allowed, expiresAt: now, level: allowed, countedTo: now, held: 0, askedAt: 0, usedAt: now, usedSince: 0, denied: 0,
});

/** Fills a rate for the elapsed time, up to one second's worth or one request. */
export const applyElapsed = (meter: Meter, now: Milliseconds): void => {
	const most = Math.max(1, meter.allowed);
	meter.level = Math.min(most, meter.level + (meter.allowed * (now - meter.countedTo) / second));
	meter.countedTo = now;
};

/** Whether an amount stays within the share. A rate may go into debt by one large amount, which later ones wait for. */
export const hasRoom = (meter: Meter, amount: number): boolean =>
	meter.kind === 'level' ? meter.held + amount <= Math.max(meter.allowed, 0) : meter.level >= Math.min(amount, Math.max(1, meter.allowed));

/** Counts use. */
export const take = (meter: Meter, amount: number): void => {
	meter.level -= amount;
	meter.usedSince += amount;
	meter.usedAt = meter.countedTo;
	meter.held += meter.kind === 'level' ? amount : 0;
};

/** Gets the time after which an amount is expected to be free. */
export const getWaitFor = (meter: Meter, amount: number): Milliseconds => {
	if (meter.kind === 'level' || meter.allowed <= 0) {
		return leastWait;
	}

	const lacking = Math.min(amount, Math.max(1, meter.allowed)) - meter.level;
	return Math.max(leastWait, Math.ceil(lacking / meter.allowed * second));
};
