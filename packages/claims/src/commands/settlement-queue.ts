import type {Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {
	ClaimSettlement, Milliseconds, RequestId, SettlementOutcome,
} from '@gentianlift/types';
import PQueue from 'p-queue';

/** What the queue of settlements needs. */
export type SettlementQueueOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	/** Tries to store a settlement once. */
	send: (settlement: ClaimSettlement) => Promise<SettlementOutcome>;
};

/** Settlements that are not stored yet. It only holds requests that were under way at this host, which bounds it. */
export type SettlementQueue = {
	add: (settlement: ClaimSettlement) => void;
	/** Waits until all are stored, or for `limit`; gets the number left. */
	drain: (limit: Milliseconds) => Promise<number>;
	getSize: () => number;
};

const sendsAtOnce = 64;
const retryDelay = {first: 250, longest: 8000};
const longestExponent = 6;
const drainInterval = 20;

const getRetryDelay = (round: number, random: Random): Milliseconds =>
	Math.min(retryDelay.longest, retryDelay.first * (2 ** Math.min(round, longestExponent))) * (0.5 + random.next());

/** Creates the queue of a host's settlements. Retries are spread at random, so that hosts don't all come at once after an outage. */
export const createSettlementQueue = ({
	clock, random, metrics, send,
}: SettlementQueueOptions): SettlementQueue => {
	const queue = new PQueue({concurrency: sendsAtOnce});
	const pending = new Map<RequestId, ClaimSettlement>();

	const trySend = async (settlement: ClaimSettlement, round: number): Promise<void> => {
		const outcome = await queue.add(async () => send(settlement));
		if (outcome.retry !== true) {
			pending.delete(settlement.request);
			metrics.setGauge('claim_settlements_waiting', pending.size);
			return;
		}

		metrics.count('claim_settlement_retries');
		clock.after(getRetryDelay(round, random), () => {
			void trySend(settlement, round + 1);
		});
	};

	return {
		add(settlement) {
			if (pending.has(settlement.request)) {
				return;
			}

			pending.set(settlement.request, settlement);
			metrics.setGauge('claim_settlements_waiting', pending.size);
			void trySend(settlement, 0);
		},
		async drain(limit) {
			const deadline = clock.monotonic() + limit;
			while (pending.size > 0 && clock.monotonic() < deadline) {
				// eslint-disable-next-line no-await-in-loop -- The queue empties by itself; this only watches it.
				await clock.sleep(drainInterval);
			}

			return pending.size;
		},
		getSize: () => pending.size,
	};
};
