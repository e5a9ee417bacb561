import type {Clock} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {
	Engine, EngineOrder, FencedOrder, LoadReport, Milliseconds, OrderOutcome, UpstreamId,
} from '@gentianlift/types';
import type {Holder} from './lease/holder.js';
import {mayOrder} from './lease/term.js';
import type {PlannedOrder} from './plan/types.js';
import type {Timing} from './timing.js';

/** Sends an order to an engine once, within the time that `Timing.order` names. */
export type SendOrder = (engine: Engine, order: FencedOrder) => Promise<OrderOutcome>;

/** Orders on their way to engines. */
export type Dispatch = {
	/** Takes planned orders, one for each engine at most. */
	add: (orders: PlannedOrder[]) => void;
	/** Sends what is due, and forgets what reports show as done or has taken too long. */
	run: (reports: ReadonlyMap<UpstreamId, LoadReport>) => Promise<void>;
	getPending: () => Map<UpstreamId, EngineOrder>;
	clear: () => void;
};

/** What sending orders needs. */
export type DispatchPorts = {
	clock: Clock;
	metrics: Metrics;
	timing: Timing;
	holder: Holder;
	sendOrder: SendOrder;
};

type Pending = PlannedOrder & {id: string; fencingNumber: number; since: Milliseconds; isAccepted: boolean; isSending: boolean};

/** Time after which an order without visible effect is given up, so that it is planned anew. */
const effectLimit: Milliseconds = 180_000;

/** Whether a report shows the effect of an order. */
export const hasEffect = (order: EngineOrder, report: LoadReport): boolean => {
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

/** Creates the part of the holder that sends orders, repeating one under the same id until its outcome is known. */
export const createDispatch = ({clock, metrics, timing, holder, sendOrder}: DispatchPorts): Dispatch => {
	const pending = new Map<UpstreamId, Pending>();
	let sequence = 0;

	const settle = async (entry: Pending, outcome: OrderOutcome): Promise<void> => {
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
				// The next run repeats it under the same id.
				return;
			}

			case 'stale': {
				pending.clear();
				await holder.stepDown('stale');
			}
		}
	};

	const send = async (entry: Pending): Promise<void> => {
		const term = holder.getTerm();
		// The check and the call come in one step, so that nothing else runs between them.
		if (term?.fencingNumber !== entry.fencingNumber || !mayOrder(term, entry.engine.fencing, clock.monotonic(), timing)) {
			return;
		}

		entry.isSending = true;
		const outcome = await sendOrder(entry.engine, {id: entry.id, fencingNumber: entry.fencingNumber, order: entry.order});
		entry.isSending = false;
		await settle(entry, outcome);
	};

	const forget = (reports: ReadonlyMap<UpstreamId, LoadReport>): void => {
		for (const [id, entry] of pending) {
			const report = reports.get(id);
			const isDone = entry.isAccepted && report !== undefined && hasEffect(entry.order, report);
			if (isDone || clock.monotonic() - entry.since >= effectLimit) {
				pending.delete(id);
			}
		}
	};

	return {
		add(orders) {
			const term = holder.getTerm();
			for (const {engine, order} of term === undefined ? [] : orders) {
				sequence++;
				const fencingNumber = term?.fencingNumber ?? 0;
				pending.set(engine.id, {
					engine, order, fencingNumber, id: `${fencingNumber}.${sequence}`, since: clock.monotonic(), isAccepted: false, isSending: false,
				});
			}
		},
		async run(reports) {
			forget(reports);
			const due = [...pending.values()].filter(({isAccepted, isSending}) => !isAccepted && !isSending);
			await Promise.all(due.map(async entry => send(entry)));
		},
		getPending: () => new Map([...pending].map(([id, {order}]) => [id, order])),
		clear() {
			pending.clear();
		},
	};
};
