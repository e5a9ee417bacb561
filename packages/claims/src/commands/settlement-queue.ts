import type {Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {
	ClaimSettlement, Milliseconds, RequestId, SettlementOutcome,
} from '@gentianlift/types';
import PQueue from 'p-queue';

/** Dependencies of a settlement queue. */
export type SettlementQueueOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	/** Tries once to store a settlement. */
	send: (settlement: ClaimSettlement) => Promise<SettlementOutcome>;
};

/** Settlements that are not stored yet. While the key-value service is unavailable no request starts, so only requests in flight, and withdrawn ones whose claims may have been stored, add to them. */
export type SettlementQueue = {
	/** Queues a settlement, unless one of the same request is queued already. */
	add: (settlement: ClaimSettlement) => void;
	/** Waits until all settlements are stored, at most for `limit`; returns the number left. */
	drain: (limit: Milliseconds) => Promise<number>;
	/** Returns the number of settlements that are not stored yet. */
	getSize: () => number;
};

const maxConcurrentSends = 64;
/** Retry delays in milliseconds, before jitter. */
const retryDelay = {initial: 250, max: 8000};
const maxExponent = 6;
/** Interval in milliseconds at which draining checks whether the queue is empty. */
const drainPollInterval = 20;

const getRetryDelay = (retries: number, random: Random): Milliseconds =>
	Math.min(retryDelay.max, retryDelay.initial * (2 ** Math.min(retries, maxExponent))) * (0.5 + random.next());

/** Creates the settlement queue of a host. Retry delays have jitter, so that hosts don't all retry at once after an outage. */
export const createSettlementQueue = ({
	clock, random, metrics, send,
}: SettlementQueueOptions): SettlementQueue => {
	const queue = new PQueue({concurrency: maxConcurrentSends});
	const pending = new Map<RequestId, ClaimSettlement>();

	const attemptSend = async (settlement: ClaimSettlement, retries: number): Promise<void> => {
		const outcome = await queue.add(async () => send(settlement));
		if (outcome.retry !== true) {
			pending.delete(settlement.request);
			metrics.setGauge('claim_settlements_waiting', pending.size);
			return;
		}

		metrics.count('claim_settlement_retries');
		clock.after(getRetryDelay(retries, random), () => {
			void attemptSend(settlement, retries + 1);
		});
	};

	return {
		add(settlement) {
			if (pending.has(settlement.request)) {
				return;
			}

			pending.set(settlement.request, settlement);
			metrics.setGauge('claim_settlements_waiting', pending.size);
			void attemptSend(settlement, 0);
		},
		async drain(limit) {
			const deadline = clock.monotonic() + limit;
			while (pending.size > 0 && clock.monotonic() < deadline) {
				// eslint-disable-next-line no-await-in-loop -- Polls until the queue is empty.
				await clock.sleep(drainPollInterval);
			}

			return pending.size;
		},
		getSize: () => pending.size,
	};
};
