import type {Clock} from '@gentianlift/clock';
import type {
	HostId, Milliseconds, QuotaAnswer, QuotaRequest,
} from '@gentianlift/types';
import {getLimitKey, type Limit} from './limits.js';
import {
	type Bucket, createBucket, getLevelShare, getRefillTime, takeFromBucket,
} from './share-out.js';

/** How long a host may use a share without a new exchange. */
export const shareDuration: Milliseconds = 5000;

/** What an owner of limits needs. */
export type QuotaOwnerOptions = {
	clock: Clock;
	self: HostId;
	getHosts: () => ReadonlyArray<{host: HostId}>;
	/** Host that owns a key by this host's view. */
	getOwnerOf: (key: string) => HostId | undefined;
	getLimits: () => ReadonlyMap<string, Limit>;
};

/** Shares out the limits that this host owns. */
export type QuotaOwner = {
	handle: (from: HostId, message: QuotaRequest) => QuotaAnswer;
};

type Wish = QuotaRequest['limits'][number];
type Share = QuotaAnswer['shares'][number];
type Reservation = {amount: number; expiresAt: Milliseconds};

type Ledger = {
	buckets: Map<string, Bucket>;
	/** Reservations of levels by limit and host. */
	reservations: Map<string, Map<HostId, Reservation>>;
};

/**
 * Creates the owner of limits. After a change of owner, a rate is exceeded by at most one second's worth,
 * and a level by what the hosts had reserved, for at most one lease.
 */
export const createQuotaOwner = (options: QuotaOwnerOptions): QuotaOwner => {
	const ledger: Ledger = {buckets: new Map(), reservations: new Map()};
	return {
		handle(from, {limits}) {
			const owned = limits.filter(({limit}) => options.getOwnerOf(getLimitKey(limit)) === options.self);
			return {owner: owned.length === limits.length, shares: owned.flatMap(wish => shareOut(ledger, options, from, wish) ?? [])};
		},
	};
};

const shareOut = (ledger: Ledger, options: QuotaOwnerOptions, from: HostId, wish: Wish): Share | undefined => {
	const limit = options.getLimits().get(wish.limit);
	switch (limit?.kind) {
		case undefined: {
			return undefined;
		}

		case 'rate': {
			return shareRate(ledger, limit, wish, options.clock.monotonic());
		}

		case 'level': {
			return shareLevel(ledger, limit, {...wish, from, hosts: options.getHosts().length}, options.clock.monotonic());
		}
	}
};

const shareRate = ({buckets}: Ledger, {name, amount}: Limit, wish: Wish, now: Milliseconds): Share => {
	const {bucket, taken} = takeFromBucket(buckets.get(name) ?? createBucket(amount, now), amount, wish, now);
	buckets.set(name, bucket);
	return {limit: name, allowed: taken, duration: taken > 0 ? shareDuration : getRefillTime(bucket, amount)};
};

const shareLevel = ({reservations}: Ledger, {name, amount}: Limit, {from, hosts, used, wanted}: Wish & {from: HostId; hosts: number}, now: Milliseconds): Share => {
	const own = reservations.get(name) ?? new Map<HostId, Reservation>();
	reservations.set(name, own);
	own.delete(from);
	let reserved = 0;
	for (const [host, reservation] of own) {
		if (reservation.expiresAt <= now) {
			own.delete(host);
		} else {
			reserved += reservation.amount;
		}
	}

	const allowed = getLevelShare(amount, wanted, reserved, hosts);
	own.set(from, {amount: Math.max(allowed, used), expiresAt: now + shareDuration});
	return {limit: name, allowed, duration: shareDuration};
};
