import type {Clock} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {
	HostId, Milliseconds, PeerCalls, PeerOutcome, QuotaAnswer, QuotaRequest,
} from '@gentianlift/types';
import type {QuotaOwner} from './create-quota-owner.js';
import {getLimitKey, type Limit} from './limits.js';
import {
	applyElapsed, createMeter, getWaitFor, hasRoom, type Meter, take,
} from './meter.js';

/** Interval of exchanges with the owner of limits in use. */
export const quotaInterval: Milliseconds = 2000;
/** Least time between two exchanges that ask for more. */
const leastInterval: Milliseconds = 100;
/** How long the last share stands while the owner can't be reached. */
const lastShareDuration: Milliseconds = 10_000;
const unusedExpiry: Milliseconds = 30_000;

/** What a client of limits needs. */
export type QuotaClientOptions = {
	clock: Clock;
	metrics: Metrics;
	self: HostId;
	peers: Pick<PeerCalls, 'exchangeQuota'>;
	getHosts: () => ReadonlyArray<{host: HostId}>;
	getOwnerOf: (key: string) => HostId | undefined;
	getLocalOwner: () => QuotaOwner;
	getLimits: () => ReadonlyMap<string, Limit>;
};

/** An amount of a limit. */
export type Amount = {limit: string; amount: number};

/** Whether a request stays within its customer's limits. */
export type QuotaDecision = {kind: 'allowed'} | {kind: 'refused'; limit: string; retryAfter: Milliseconds};

/** Keeps a host within its shares of the customers' limits. */
export type QuotaClient = {
	/** Takes all amounts or none. */
	acquire: (amounts: readonly Amount[]) => Promise<QuotaDecision>;
	/** Counts use that was not known before, such as the tokens of an answer. */
	use: (limit: string, amount: number) => void;
	/** Gives back an amount of a limit on things under way. */
	release: (limit: string, amount: number) => void;
	stop: () => void;
};

/** Creates the client of limits of this host. */
export const createQuotaClient = (options: QuotaClientOptions): QuotaClient => new SharedQuota(options);

class SharedQuota implements QuotaClient {
	readonly #options: QuotaClientOptions;
	readonly #meters = new Map<string, Meter>();
	readonly #underWay = new Map<string, Promise<void>>();
	readonly #cancel: () => void;

	constructor(options: QuotaClientOptions) {
		this.#options = options;
		const {every} = options.clock;
		this.#cancel = every(quotaInterval, () => {
			this.#renew();
		});
	}

	readonly acquire = async (amounts: readonly Amount[]): Promise<QuotaDecision> => {
		await this.#prepare(amounts);
		const refused = this.#getRefused(amounts);
		if (refused !== undefined) {
			const meter = this.#getMeter(refused.limit);
			this.#options.metrics.count('quota_refusals', {limit: refused.limit.split(':')[0] ?? ''});
			return {kind: 'refused', limit: refused.limit, retryAfter: getWaitFor(meter, refused.amount)};
		}

		for (const {limit, amount} of amounts) {
			take(this.#getMeter(limit), amount);
		}

		return {kind: 'allowed'};
	};

	readonly use = (limit: string, amount: number): void => {
		take(this.#getMeter(limit), amount);
	};

	readonly release = (limit: string, amount: number): void => {
		const meter = this.#getMeter(limit);
		meter.held = Math.max(0, meter.held - amount);
	};

	readonly stop = (): void => {
		this.#cancel();
	};

	/** Gets a larger share for what this host has no share of yet, or too small a one. */
	async #prepare(amounts: readonly Amount[]): Promise<void> {
		const now = this.#options.clock.monotonic();
		const lacking = amounts.filter(({limit, amount}) => {
			const meter = this.#getMeter(limit);
			const mayAsk = now - meter.askedAt >= leastInterval;
			return meter.askedAt === 0 || (mayAsk && !hasRoom(meter, amount));
		});
		for (const {limit, amount} of lacking) {
			this.#getMeter(limit).denied += amount;
		}

		const keys = new Set(lacking.map(({limit}) => getLimitKey(limit)));
		await Promise.all([...keys].map(async key => this.#exchangeOnce(key)));
	}

	#getRefused(amounts: readonly Amount[]): Amount | undefined {
		return amounts.find(({limit, amount}) => !hasRoom(this.#getMeter(limit), amount));
	}

	#getMeter(limit: string): Meter {
		const now = this.#options.clock.monotonic();
		const known = this.#meters.get(limit);
		const configured = this.#options.getLimits().get(limit) ?? {name: limit, kind: 'rate', amount: 0};
		const meter = known ?? createMeter(configured, this.#getEvenShare(configured), now);
		this.#meters.set(limit, meter);
		meter.amount = configured.amount;
		if (now > meter.expiresAt + lastShareDuration) {
			meter.allowed = this.#getEvenShare(configured);
		}

		applyElapsed(meter, now);
		return meter;
	}

	#getEvenShare({amount}: Limit): number {
		return amount / Math.max(1, this.#options.getHosts().length);
	}

	/** Joins an exchange that is under way for the same owner's key. */
	async #exchangeOnce(key: string): Promise<void> {
		const known = this.#underWay.get(key) ?? this.#exchange(key);
		this.#underWay.set(key, known);
		await known;
		this.#underWay.delete(key);
	}

	async #exchange(key: string): Promise<void> {
		const now = this.#options.clock.monotonic();
		const meters = [...this.#meters.values()].filter(meter => getLimitKey(meter.name) === key);
		const limits = meters.map(meter => getWish(meter, now));
		for (const meter of meters) {
			meter.askedAt = now;
			meter.denied = 0;
			meter.usedSince = 0;
		}

		const outcome = await this.#call(key, {host: this.#options.self, limits});
		if (outcome.kind === 'answered') {
			this.#applyShares(outcome.answer);
		} else {
			this.#options.metrics.count('quota_exchange_failures', {kind: outcome.kind});
		}
	}

	async #call(key: string, message: QuotaRequest): Promise<PeerOutcome<QuotaAnswer>> {
		const {self, getOwnerOf, getLocalOwner, peers} = this.#options;
		const owner = getOwnerOf(key);
		if (owner === undefined) {
			return {kind: 'unreachable', reason: 'no owner'};
		}

		return owner === self ? {kind: 'answered', answer: getLocalOwner().handle(self, message)} : peers.exchangeQuota(owner, message);
	}

	#applyShares({shares}: QuotaAnswer): void {
		const now = this.#options.clock.monotonic();
		for (const {limit, allowed, duration} of shares) {
			const meter = this.#getMeter(limit);
			meter.allowed = allowed;
			meter.expiresAt = now + duration;
			applyElapsed(meter, now);
		}
	}

	/** Renews shares in use and forgets those that aren't. */
	#renew(): void {
		const now = this.#options.clock.monotonic();
		const keys = new Set<string>();
		for (const [limit, meter] of this.#meters) {
			if (meter.held === 0 && now - meter.usedAt > unusedExpiry) {
				this.#meters.delete(limit);
			} else if (meter.held > 0 || meter.usedSince > 0 || meter.denied > 0) {
				keys.add(getLimitKey(limit));
			}
		}

		for (const key of keys) {
			void this.#exchangeOnce(key);
		}
	}
}

const getWish = (meter: Meter, now: Milliseconds): {limit: string; used: number; wanted: number} => {
	const seconds = Math.max(1, (now - meter.askedAt) / 1000);
	const wanted = meter.kind === 'level' ? meter.held + meter.denied : (meter.usedSince + meter.denied) / seconds;
	return {limit: meter.name, used: meter.kind === 'level' ? meter.held : meter.usedSince, wanted};
};
