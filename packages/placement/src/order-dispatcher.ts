import type {Clock} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {
	Engine, EngineOrder, FencedOrder, EngineLoadReport, Milliseconds, OrderOutcome, UpstreamId,
} from '@gentianlift/types';
import type {LeaderElection} from './lease/leader-election.js';
import {isOrderAllowed} from './lease/term.js';
import type {PlannedOrder} from './plan/types.js';
import type {Timing} from './timing.js';

/** Sends an order to an engine once, within `Timing.orderTimeout`. */
export type SendOrder = (engine: Engine, order: FencedOrder) => Promise<OrderOutcome>;

/** Sends orders to engines and tracks them until their effect is reported. */
export type OrderDispatcher = {
	/** Adds planned orders, at most one per engine; ignored when this host does not hold the lease. */
	add: (orders: PlannedOrder[]) => void;
	/** Removes orders whose effect is reported or that have timed out, and sends those that no engine has accepted yet. */
	run: (reports: ReadonlyMap<UpstreamId, EngineLoadReport>) => Promise<void>;
	/** Returns the pending order of each engine. */
	getPending: () => Map<UpstreamId, EngineOrder>;
	/** Removes all pending orders. */
	clear: () => void;
};

/** Dependencies of an order dispatcher. */
export type OrderDispatcherOptions = {
	clock: Clock;
	metrics: Metrics;
	timing: Timing;
	election: LeaderElection;
	sendOrder: SendOrder;
};

/** An order whose effect is not reported yet. */
type PendingOrder = PlannedOrder & {id: string; fencingNumber: number; addedAt: Milliseconds; isAccepted: boolean; isSending: boolean};

/** Time after which an order without a reported effect is removed, so that it can be planned again. */
const effectTimeout: Milliseconds = 180_000;

/** Whether a load report shows the effect of an order. */
export const isEffectReported = (order: EngineOrder, report: EngineLoadReport): boolean => {
	switch (order.kind) {
		case 'load': {
			return report.models.includes(order.model);
		}

		case 'unload': {
			return !report.models.includes(order.model);
		}

		case 'load-adapter': {
			return report.adapters.includes(order.adapter);
		}

		case 'unload-adapter': {
			return !report.adapters.includes(order.adapter);
		}

		case 'change-role': {
			return report.role === order.role;
		}
	}
};

/** Creates an order dispatcher. An order is retried under the same id until its outcome is known. */
export const createOrderDispatcher = ({clock, metrics, timing, election, sendOrder}: OrderDispatcherOptions): OrderDispatcher => {
	const pending = new Map<UpstreamId, PendingOrder>();
	let sequence = 0;

	const recordOutcome = async (entry: PendingOrder, outcome: OrderOutcome): Promise<void> => {
		metrics.count('placement_orders_total', {kind: entry.order.kind, outcome: outcome.kind});
		switch (outcome.kind) {
			case 'accepted': {
				entry.isAccepted = true;
				return;
			}

			case 'refused': {
				pending.delete(entry.engine.id);
				return;
			}

			case 'unknown': {
				// The next run retries the order under the same id.
				return;
			}

			case 'stale': {
				pending.clear();
				await election.stepDown('stale');
			}
		}
	};

	const send = async (entry: PendingOrder): Promise<void> => {
		const term = election.getTerm();
		// The check and the call are in one synchronous step, so that the term can't end between them.
		if (term?.fencingNumber !== entry.fencingNumber || !isOrderAllowed(term, entry.engine.fencing, clock.monotonic(), timing)) {
			return;
		}

		entry.isSending = true;
		const outcome = await sendOrder(entry.engine, {id: entry.id, fencingNumber: entry.fencingNumber, order: entry.order});
		entry.isSending = false;
		await recordOutcome(entry, outcome);
	};

	/** Removes orders whose effect is reported or that have timed out. */
	const removeFinished = (reports: ReadonlyMap<UpstreamId, EngineLoadReport>): void => {
		for (const [id, entry] of pending) {
			const report = reports.get(id);
			const isDone = entry.isAccepted && report !== undefined && isEffectReported(entry.order, report);
			if (isDone || clock.monotonic() - entry.addedAt >= effectTimeout) {
				pending.delete(id);
			}
		}
	};

	return {
		add(orders) {
			const term = election.getTerm();
			for (const {engine, order} of term === undefined ? [] : orders) {
				sequence++;
				const fencingNumber = term?.fencingNumber ?? 0;
				pending.set(engine.id, {
					engine, order, fencingNumber, id: `${fencingNumber}.${sequence}`, addedAt: clock.monotonic(), isAccepted: false, isSending: false,
				});
			}
		},
		async run(reports) {
			removeFinished(reports);
			const unaccepted = [...pending.values()].filter(({isAccepted, isSending}) => !isAccepted && !isSending);
			await Promise.all(unaccepted.map(async entry => send(entry)));
		},
		getPending: () => new Map([...pending].map(([id, {order}]) => [id, order])),
		clear() {
			pending.clear();
		},
	};
};
