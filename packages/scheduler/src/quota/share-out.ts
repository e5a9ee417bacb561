import type {Milliseconds} from '@gentianlift/types';

const second: Milliseconds = 1000;
/** Use that a rate saves up at most. */
const savedTime: Milliseconds = 1000;
/** Debt of a rate is remembered up to this much. */
const longestDebt: Milliseconds = 60_000;

/** What is left of a rate. */
export type Bucket = {left: number; countedTo: Milliseconds};

/** Creates a bucket with as much as a rate saves up. */
export const createBucket = (amount: number, now: Milliseconds): Bucket => ({left: amount * savedTime / second, countedTo: now});

/** Fills a bucket for the elapsed time and takes what a host has used beyond its share, then what it wants as far as there is. */
export const takeFromBucket = (bucket: Bucket, amount: number, wish: {used: number; wanted: number}, now: Milliseconds): {bucket: Bucket; taken: number} => {
	const most = Math.max(1, amount * savedTime / second);
	const filled = Math.min(most, bucket.left + (amount * (now - bucket.countedTo) / second));
	const left = Math.max(-amount * longestDebt / second, filled - wish.used);
	const taken = Math.max(0, Math.min(wish.wanted, Math.floor(left)));
	return {bucket: {left: left - taken, countedTo: now}, taken};
};

/** Gets the time after which a bucket has one again. */
export const getRefillTime = ({left}: Bucket, amount: number): Milliseconds => Math.ceil(Math.max(0, 1 - left) / Math.max(amount, Number.EPSILON) * second);

/** Parts of what is free, for each host, of which a host gets one beyond what it wants. */
const spareParts = 4;

/**
 * Gets a host's share of a level: what it wants, and a little more while much is free,
 * but never more than what the others have reserved leaves.
 */
export const getLevelShare = (amount: number, wanted: number, reserved: number, hosts: number): number => {
	const free = Math.max(0, amount - reserved);
	const spare = Math.floor(Math.max(0, free - wanted) / (spareParts * Math.max(1, hosts)));
	return Math.min(free, wanted + spare);
};
