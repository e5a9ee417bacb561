import type {Clock} from '@gentianlift/clock';
import type {
	HostId, Milliseconds, QuotaAnswer, QuotaRequest,
} from '@gentianlift/types';
import {getLimitKey, type Limit} from './limits.js';
import {getShare} from './share-out.js';

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

type Lease = {wanted: number; used: number; allowed: number; expiresAt: Milliseconds};
type Ledger = {since: Milliseconds; leases: Map<HostId, Lease>};

/** Creates the owner of limits. In its first lease time it gives each host an even share, as earlier leases aren't known to it. */
export const createQuotaOwner = (options: QuotaOwnerOptions): QuotaOwner => {
	const ledgers = new Map<string, Ledger>();
	return {
		handle(from, {limits}) {
			const owned = limits.filter(({limit}) => options.getOwnerOf(getLimitKey(limit)) === options.self);
			return {
				owner: owned.length === limits.length,
				shares: owned.map(({limit, used, wanted}) => ({
					limit, allowed: shareOut(ledgers, options, {
						limit, from, used, wanted,
					}), duration: shareDuration,
				})),
			};
		},
	};
};

type Wish = {limit: string; from: HostId; used: number; wanted: number};

const shareOut = (ledgers: Map<string, Ledger>, options: QuotaOwnerOptions, {limit, from, used, wanted}: Wish): number => {
	const now = options.clock.monotonic();
	const known = options.getLimits().get(limit);
	if (known === undefined) {
		ledgers.delete(limit);
		return 0;
	}

	const ledger = ledgers.get(limit) ?? {since: now, leases: new Map<HostId, Lease>()};
	ledgers.set(limit, ledger);
	dropExpired(ledger, now);
	const even = known.amount / Math.max(1, options.getHosts().length);
	const isSettled = now - ledger.since >= shareDuration;
	const others = [...ledger.leases].filter(([host]) => host !== from).map(([, lease]) => getHolding(lease, known));
	const share = getShare(known.amount, {wanted, reserved: 0}, others);
	const allowed = isSettled ? share : Math.min(share, Math.max(even, Math.min(1, share)));
	ledger.leases.set(from, {
		wanted, used, allowed, expiresAt: now + shareDuration,
	});
	return allowed;
};

const getHolding = ({wanted, used, allowed}: Lease, {kind}: Limit): {wanted: number; reserved: number} =>
	({wanted, reserved: kind === 'level' ? Math.max(allowed, used) : allowed});

const dropExpired = ({leases}: Ledger, now: Milliseconds): void => {
	for (const [host, {expiresAt}] of leases) {
		if (expiresAt <= now) {
			leases.delete(host);
		}
	}
};
