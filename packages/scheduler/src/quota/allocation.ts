import type {Milliseconds} from '@gentianlift/types';

const second: Milliseconds = 1000;
/** Capacity of a rate's bucket, as the time in which it fills. */
const burstTime: Milliseconds = 1000;
/** Maximum debt of a rate, as the time in which it is paid off. */
const maxDebtTime: Milliseconds = 60_000;

/** Token bucket of a rate; what remains is negative while the rate is in debt. */
export type Bucket = {remaining: number; refilledAt: Milliseconds};

/** Creates a bucket that holds the amount of the burst time. */
export const createBucket = (amount: number, now: Milliseconds): Bucket => ({remaining: amount * burstTime / second, refilledAt: now});

/** Refills a bucket for the elapsed time, deducts what a host has used beyond its share, then takes as much of what the host wants as is left. */
export const takeFromBucket = (bucket: Bucket, amount: number, demand: {used: number; wanted: number}, now: Milliseconds): {bucket: Bucket; taken: number} => {
	const capacity = Math.max(1, amount * burstTime / second);
	const filled = Math.min(capacity, bucket.remaining + (amount * (now - bucket.refilledAt) / second));
	const remaining = Math.max(-amount * maxDebtTime / second, filled - demand.used);
	const taken = Math.max(0, Math.min(demand.wanted, Math.floor(remaining)));
	return {bucket: {remaining: remaining - taken, refilledAt: now}, taken};
};

/** Returns the time until a bucket holds at least 1 again. */
export const getRefillTime = ({remaining}: Bucket, amount: number): Milliseconds => Math.ceil(Math.max(0, 1 - remaining) / Math.max(amount, Number.EPSILON) * second);

/** Beyond what it wants, a host gets an even share of the remaining free amount, divided by this. */
const spareDivisor = 4;

/**
 * Returns a host's share of a level: what it wants and a small part of what is free beyond that,
 * but never more than the reservations of other hosts leave.
 */
export const getLevelShare = (amount: number, wanted: number, reserved: number, hosts: number): number => {
	const free = Math.max(0, amount - reserved);
	const spare = Math.floor(Math.max(0, free - wanted) / (spareDivisor * Math.max(1, hosts)));
	return Math.min(free, wanted + spare);
};
