import type {Clock} from '@gentianlift/clock';
import type {
	HostId, Milliseconds, QuotaResponse, QuotaRequest,
} from '@gentianlift/types';
import {getQuotaKey, type QuotaLimit} from './limits.js';
import {
	type Bucket, createBucket, getLevelShare, getRefillTime, takeFromBucket,
} from './allocation.js';

/** Lease of a share: how long a host may use it without another exchange. */
export const shareLeaseDuration: Milliseconds = 5000;

/** Options of a quota owner. */
export type QuotaOwnerOptions = {
	clock: Clock;
	self: HostId;
	/** Returns the live hosts, this one included. */
	getHosts: () => ReadonlyArray<{host: HostId}>;
	/** Returns the host that owns a key in this host's view. */
	getOwnerOf: (key: string) => HostId | undefined;
	getLimits: () => ReadonlyMap<string, QuotaLimit>;
};

/** Allocates shares of the limits that this host owns. */
export type QuotaOwner = {
	/** Handles a host's request for shares. */
	handle: (from: HostId, message: QuotaRequest) => QuotaResponse;
};

type QuotaDemand = QuotaRequest['limits'][number];
type Share = QuotaResponse['shares'][number];
type Reservation = {amount: number; expiresAt: Milliseconds};

type Ledger = {
	buckets: Map<string, Bucket>;
	/** Reservations of levels, by limit and host. */
	reservations: Map<string, Map<HostId, Reservation>>;
};

/**
 * Creates a quota owner. After a change of owner, a rate is exceeded by at most the amount of one second,
 * and a level by at most the shares that the hosts had reserved, for at most one lease.
 */
export const createQuotaOwner = (options: QuotaOwnerOptions): QuotaOwner => {
	const ledger: Ledger = {buckets: new Map(), reservations: new Map()};
	return {
		handle(from, {limits}) {
			const owned = limits.filter(({limit}) => options.getOwnerOf(getQuotaKey(limit)) === options.self);
			return {owner: owned.length === limits.length, shares: owned.flatMap(demand => allocateShare(ledger, options, from, demand) ?? [])};
		},
	};
};

const allocateShare = (ledger: Ledger, options: QuotaOwnerOptions, from: HostId, demand: QuotaDemand): Share | undefined => {
	const limit = options.getLimits().get(demand.limit);
	switch (limit?.kind) {
		case undefined: {
			return undefined;
		}

		case 'rate': {
			return allocateRate(ledger, limit, demand, options.clock.monotonic());
		}

		case 'level': {
			return allocateLevel(ledger, limit, {...demand, from, hosts: options.getHosts().length}, options.clock.monotonic());
		}
	}
};

const allocateRate = ({buckets}: Ledger, {name, amount}: QuotaLimit, demand: QuotaDemand, now: Milliseconds): Share => {
	const {bucket, taken} = takeFromBucket(buckets.get(name) ?? createBucket(amount, now), amount, demand, now);
	buckets.set(name, bucket);
	return {limit: name, allowed: taken, duration: taken > 0 ? shareLeaseDuration : getRefillTime(bucket, amount)};
};

const allocateLevel = ({reservations}: Ledger, {name, amount}: QuotaLimit, {from, hosts, used, wanted}: QuotaDemand & {from: HostId; hosts: number}, now: Milliseconds): Share => {
	const byHost = reservations.get(name) ?? new Map<HostId, Reservation>();
	reservations.set(name, byHost);
	byHost.delete(from);
	let reserved = 0;
	for (const [host, reservation] of byHost) {
		if (reservation.expiresAt <= now) {
			byHost.delete(host);
		} else {
			reserved += reservation.amount;
		}
	}

	const allowed = getLevelShare(amount, wanted, reserved, hosts);
	byHost.set(from, {amount: Math.max(allowed, used), expiresAt: now + shareLeaseDuration});
	return {limit: name, allowed, duration: shareLeaseDuration};
};
