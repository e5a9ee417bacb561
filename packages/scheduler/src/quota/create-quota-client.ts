import type {Clock} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {
	HostId, Milliseconds, PeerCalls, PeerOutcome, QuotaAnswer, QuotaRequest,
} from '@gentianlift/types';
import type {QuotaOwner} from './create-quota-owner.js';
import {getLimitKey, type Limit} from './limits.js';
import {
	applyAlone, applyShare, applyTime, createMeter, getRetryAfter, getWish, hasRoom, isRefused, type Meter, take,
} from './meter.js';

/** Interval of exchanges with the owner of levels in use. */
export const renewInterval: Milliseconds = 2000;
/** Interval at which a host gives back what it doesn't need of small levels. */
const returnInterval: Milliseconds = 500;
/** Exchanges of others that a request waits for before its own. */
const mostTurns = 4;
/** A level with fewer for each host than this is small. */
const smallShare = 4;
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
		this.#cancel = every(returnInterval, () => {
			this.#renew();
		});
	}

	readonly acquire = async (amounts: readonly Amount[]): Promise<QuotaDecision> => {
		for (let turns = 1; ; turns++) {
			// eslint-disable-next-line no-await-in-loop -- Another request may have taken what this one waited for.
			const refused = await this.#tryAcquire(amounts);
			if (refused === undefined) {
				return {kind: 'allowed'};
			}

			const meter = this.#getMeter(refused.limit);
			if (turns >= mostTurns || this.#now() < meter.emptyUntil) {
				this.#options.metrics.count('quota_refusals', {limit: refused.limit.split(':')[0] ?? ''});
				return {kind: 'refused', limit: refused.limit, retryAfter: getRetryAfter(meter, this.#now())};
			}
		}
	};

	readonly use = (limit: string, amount: number): void => {
		take(this.#getMeter(limit), amount, this.#now());
	};

	readonly release = (limit: string, amount: number): void => {
		const meter = this.#getMeter(limit);
		meter.held = Math.max(0, meter.held - amount);
	};

	readonly stop = (): void => {
		this.#cancel();
	};

	/** Takes all amounts, or returns one that there is no room for. */
	async #tryAcquire(amounts: readonly Amount[]): Promise<Amount | undefined> {
		const waitedFor = await this.#prepare(amounts);
		this.#addPending(waitedFor, -1);
		const now = this.#now();
		const refused = amounts.find(({limit, amount}) => isRefused(this.#getMeter(limit), amount, now));
		for (const {limit, amount} of refused === undefined ? amounts : []) {
			take(this.#getMeter(limit), amount, now);
		}

		return refused;
	}

	#now(): Milliseconds {
		return this.#options.clock.monotonic();
	}

	#getMeter(limit: string): Meter {
		const now = this.#now();
		const meter = this.#meters.get(limit) ?? createMeter(this.#getLimit(limit), now);
		this.#meters.set(limit, meter);
		applyTime(meter, now);
		return meter;
	}

	#getLimit(limit: string): Limit {
		return this.#options.getLimits().get(limit) ?? {name: limit, kind: 'rate', amount: 0};
	}

	/** Gets a larger share of what this host lacks, and returns that; the limits of one owner go in one message. */
	async #prepare(amounts: readonly Amount[]): Promise<Amount[]> {
		const now = this.#now();
		const lacking = amounts.filter(({limit, amount}) => {
			const meter = this.#getMeter(limit);
			return now >= meter.emptyUntil && !hasRoom(meter, amount, now);
		});
		const keys = new Set(lacking.map(({limit}) => getLimitKey(limit)));
		this.#addPending(lacking, 1);
		await Promise.all([...keys].map(async key => this.#exchangeInTurn(key, lacking)));
		return lacking;
	}

	/** Counts what requests wait for, so that one exchange asks for all of them. */
	#addPending(amounts: readonly Amount[], sign: 1 | -1): void {
		for (const {limit, amount} of amounts) {
			this.#getMeter(limit).pending += sign * amount;
		}
	}

	/** Whether the share is too small for all requests that wait for it. */
	#lacksPending(limit: string): boolean {
		const now = this.#now();
		const meter = this.#getMeter(limit);
		return now >= meter.emptyUntil && !hasRoom(meter, meter.pending, now);
	}

	/** Waits for exchanges under way for the same owner's key, then asks for what is still lacking. */
	async #exchangeInTurn(key: string, amounts: readonly Amount[]): Promise<void> {
		for (let turns = 0; this.#underWay.has(key) && turns < mostTurns; turns++) {
			// eslint-disable-next-line no-await-in-loop -- One exchange after another.
			await this.#underWay.get(key);
		}

		const lacking = amounts.filter(({limit}) => getLimitKey(limit) === key && this.#lacksPending(limit));
		if (lacking.length === 0 || this.#underWay.has(key)) {
			return;
		}

		const exchange = this.#exchange(key, lacking);
		this.#underWay.set(key, exchange);
		await exchange;
		this.#underWay.delete(key);
	}

	async #exchange(key: string, amounts: readonly Amount[]): Promise<void> {
		const wishes = amounts.map(({limit}) => getWish(this.#getMeter(limit)));
		const outcome = await this.#call(key, {host: this.#options.self, limits: wishes});
		const now = this.#now();
		if (outcome.kind === 'answered' && outcome.answer.owner) {
			for (const share of outcome.answer.shares) {
				applyShare(this.#getMeter(share.limit), share, wishes.find(({limit}) => limit === share.limit) ?? {used: 0, wanted: 0}, now);
			}

			return;
		}

		this.#options.metrics.count('quota_exchange_failures', {kind: outcome.kind === 'answered' ? 'not-owner' : outcome.kind});
		for (const {limit} of amounts) {
			applyAlone(this.#getMeter(limit), this.#getEvenShare(limit), now);
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

	/** Renews the levels in use, gives back, tells debts, and forgets what isn't used. */
	#renew(): void {
		const now = this.#now();
		const due = new Map<string, Amount[]>();
		for (const [limit, meter] of this.#meters) {
			if (meter.held === 0 && now - meter.usedAt > unusedExpiry) {
				this.#meters.delete(limit);
			} else if (this.#isDue(meter, now)) {
				due.set(getLimitKey(limit), [...due.get(getLimitKey(limit)) ?? [], {limit, amount: 0}]);
			}
		}

		for (const [key, amounts] of due) {
			if (!this.#underWay.has(key)) {
				void this.#exchange(key, amounts);
			}
		}
	}

	#isDue(meter: Meter, now: Milliseconds): boolean {
		if (meter.kind === 'rate') {
			return meter.allowed < 0 && now - meter.answeredAt >= renewInterval;
		}

		const isSmall = this.#getEvenShare(meter.name) < smallShare;
		const isSpare = isSmall && meter.allowed > meter.held && now < meter.expiresAt;
		return isSpare || (meter.held > 0 && now - meter.answeredAt >= renewInterval);
	}

	#getEvenShare(limit: string): number {
		return this.#getLimit(limit).amount / Math.max(1, this.#options.getHosts().length);
	}
}
