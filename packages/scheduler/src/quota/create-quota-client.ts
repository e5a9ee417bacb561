import type {Clock} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {
	HostId, Milliseconds, PeerCalls, PeerOutcome, QuotaResponse, QuotaRequest,
} from '@gentianlift/types';
import type {QuotaOwner} from './create-quota-owner.js';
import {getQuotaKey, type QuotaLimit} from './limits.js';
import {
	advanceMeter, applyFallbackShare, applyShare, createMeter, getDemand, getRetryAfter, hasRoom, isRefused, type Meter, recordUse,
} from './meter.js';

/** Interval at which a host renews the share of a level that is in use, or reports the debt of a rate. */
export const renewInterval: Milliseconds = 2000;
/** Interval at which a host checks which shares to renew or return; unused shares of small levels are returned this often. */
const renewCheckInterval: Milliseconds = 500;
/** Maximum number of exchanges that a request waits for. */
const maxExchangeRounds = 4;
/** A level is small if an even share of it per host is less than this. */
const smallLevelPerHost = 4;
/** Meters that haven't been used for this long are dropped. */
const unusedMeterExpiry: Milliseconds = 30_000;

/** Options of a quota client. */
export type QuotaClientOptions = {
	clock: Clock;
	metrics: Metrics;
	self: HostId;
	peers: Pick<PeerCalls, 'exchangeQuota'>;
	/** Returns the live hosts, this one included. */
	getHosts: () => ReadonlyArray<{host: HostId}>;
	/** Returns the host that owns a key in this host's view. */
	getOwnerOf: (key: string) => HostId | undefined;
	getLocalOwner: () => QuotaOwner;
	getLimits: () => ReadonlyMap<string, QuotaLimit>;
};

/** An amount to be taken from a limit. */
export type LimitAmount = {limit: string; amount: number};

/** Whether a request stays within its customer's limits. */
export type QuotaDecision = {kind: 'allowed'} | {kind: 'refused'; limit: string; retryAfter: Milliseconds};

/** Keeps a host within its shares of the limits of customers. */
export type QuotaClient = {
	/** Takes all amounts, or none if one exceeds its limit. */
	acquire: (amounts: readonly LimitAmount[]) => Promise<QuotaDecision>;
	/** Records use that becomes known only afterwards, such as the tokens of an answer. */
	recordUse: (limit: string, amount: number) => void;
	/** Releases an amount of a level. */
	release: (limit: string, amount: number) => void;
	stop: () => void;
};

/** Creates this host's quota client. */
export const createQuotaClient = (options: QuotaClientOptions): QuotaClient => new SharedQuotaClient(options);

class SharedQuotaClient implements QuotaClient {
	readonly #options: QuotaClientOptions;
	readonly #meters = new Map<string, Meter>();
	readonly #inFlight = new Map<string, Promise<void>>();
	readonly #cancel: () => void;

	constructor(options: QuotaClientOptions) {
		this.#options = options;
		const {every} = options.clock;
		this.#cancel = every(renewCheckInterval, () => {
			this.#renew();
		});
	}

	readonly acquire = async (amounts: readonly LimitAmount[]): Promise<QuotaDecision> => {
		for (let rounds = 1; ; rounds++) {
			// eslint-disable-next-line no-await-in-loop -- Another request may have taken the share that this one waited for.
			const refused = await this.#tryAcquire(amounts);
			if (refused === undefined) {
				return {kind: 'allowed'};
			}

			const meter = this.#getMeter(refused.limit);
			if (rounds >= maxExchangeRounds || this.#now() < meter.exhaustedUntil) {
				this.#options.metrics.count('quota_refusals', {limit: refused.limit.split(':')[0] ?? ''});
				return {kind: 'refused', limit: refused.limit, retryAfter: getRetryAfter(meter, this.#now())};
			}
		}
	};

	readonly recordUse = (limit: string, amount: number): void => {
		recordUse(this.#getMeter(limit), amount, this.#now());
	};

	readonly release = (limit: string, amount: number): void => {
		const meter = this.#getMeter(limit);
		meter.inUse = Math.max(0, meter.inUse - amount);
	};

	readonly stop = (): void => {
		this.#cancel();
	};

	/** Takes all amounts, or returns one that doesn't fit this host's share. */
	async #tryAcquire(amounts: readonly LimitAmount[]): Promise<LimitAmount | undefined> {
		const requested = await this.#requestShares(amounts);
		this.#addPending(requested, -1);
		const now = this.#now();
		const refused = amounts.find(({limit, amount}) => isRefused(this.#getMeter(limit), amount, now));
		for (const {limit, amount} of refused === undefined ? amounts : []) {
			recordUse(this.#getMeter(limit), amount, now);
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
		advanceMeter(meter, now);
		return meter;
	}

	#getLimit(limit: string): QuotaLimit {
		return this.#options.getLimits().get(limit) ?? {name: limit, kind: 'rate', amount: 0};
	}

	/** Requests larger shares of the limits that this host lacks, and returns those amounts. Limits of the same owner go in one message. */
	async #requestShares(amounts: readonly LimitAmount[]): Promise<LimitAmount[]> {
		const now = this.#now();
		const lacking = amounts.filter(({limit, amount}) => {
			const meter = this.#getMeter(limit);
			return now >= meter.exhaustedUntil && !hasRoom(meter, amount, now);
		});
		const keys = new Set(lacking.map(({limit}) => getQuotaKey(limit)));
		this.#addPending(lacking, 1);
		await Promise.all([...keys].map(async key => this.#exchangeInTurn(key, lacking)));
		return lacking;
	}

	/** Adds or subtracts the amounts that requests wait for, so that one exchange requests all of them. */
	#addPending(amounts: readonly LimitAmount[], sign: 1 | -1): void {
		for (const {limit, amount} of amounts) {
			this.#getMeter(limit).pendingAmount += sign * amount;
		}
	}

	/** Whether the share of a limit is too small for the requests that wait for it. */
	#lacksShare(limit: string): boolean {
		const now = this.#now();
		const meter = this.#getMeter(limit);
		return now >= meter.exhaustedUntil && !hasRoom(meter, meter.pendingAmount, now);
	}

	/** Waits for exchanges in flight for the same key, then requests what is still lacking. */
	async #exchangeInTurn(key: string, amounts: readonly LimitAmount[]): Promise<void> {
		for (let rounds = 0; this.#inFlight.has(key) && rounds < maxExchangeRounds; rounds++) {
			// eslint-disable-next-line no-await-in-loop -- One exchange after another.
			await this.#inFlight.get(key);
		}

		const lacking = amounts.filter(({limit}) => getQuotaKey(limit) === key && this.#lacksShare(limit));
		if (lacking.length === 0 || this.#inFlight.has(key)) {
			return;
		}

		const exchange = this.#exchange(key, lacking);
		this.#inFlight.set(key, exchange);
		await exchange;
		this.#inFlight.delete(key);
	}

	async #exchange(key: string, amounts: readonly LimitAmount[]): Promise<void> {
		const demands = amounts.map(({limit}) => getDemand(this.#getMeter(limit)));
		const outcome = await this.#call(key, {host: this.#options.self, limits: demands});
		const now = this.#now();
		if (outcome.kind === 'answered' && outcome.answer.owner) {
			for (const share of outcome.answer.shares) {
				applyShare(this.#getMeter(share.limit), share, demands.find(({limit}) => limit === share.limit) ?? {used: 0, wanted: 0}, now);
			}

			return;
		}

		this.#options.metrics.count('quota_exchange_failures', {kind: outcome.kind === 'answered' ? 'not-owner' : outcome.kind});
		for (const {limit} of amounts) {
			applyFallbackShare(this.#getMeter(limit), this.#getEvenShare(limit), now);
		}
	}

	async #call(key: string, message: QuotaRequest): Promise<PeerOutcome<QuotaResponse>> {
		const {self, getOwnerOf, getLocalOwner, peers} = this.#options;
		const owner = getOwnerOf(key);
		if (owner === undefined) {
			return {kind: 'unreachable', reason: 'no owner'};
		}

		return owner === self ? {kind: 'answered', answer: getLocalOwner().handle(self, message)} : peers.exchangeQuota(owner, message);
	}

	/** Renews the levels in use, returns unneeded shares, reports debts, and drops unused meters. */
	#renew(): void {
		const now = this.#now();
		const due = new Map<string, LimitAmount[]>();
		for (const [limit, meter] of this.#meters) {
			if (meter.inUse === 0 && now - meter.lastUsedAt > unusedMeterExpiry) {
				this.#meters.delete(limit);
			} else if (this.#isDue(meter, now)) {
				due.set(getQuotaKey(limit), [...due.get(getQuotaKey(limit)) ?? [], {limit, amount: 0}]);
			}
		}

		for (const [key, amounts] of due) {
			if (!this.#inFlight.has(key)) {
				void this.#exchange(key, amounts);
			}
		}
	}

	#isDue(meter: Meter, now: Milliseconds): boolean {
		if (meter.kind === 'rate') {
			return meter.allowed < 0 && now - meter.lastAnswerAt >= renewInterval;
		}

		const isSmall = this.#getEvenShare(meter.name) < smallLevelPerHost;
		const hasSpare = isSmall && meter.allowed > meter.inUse && now < meter.expiresAt;
		return hasSpare || (meter.inUse > 0 && now - meter.lastAnswerAt >= renewInterval);
	}

	#getEvenShare(limit: string): number {
		return this.#getLimit(limit).amount / Math.max(1, this.#options.getHosts().length);
	}
}
