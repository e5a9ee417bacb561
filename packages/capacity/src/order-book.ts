import type {CapacityKind, DutyOutcome} from '@gentianlift/duties';
import type {Milliseconds, Zone} from '@gentianlift/types';
import type {CapacityChange, ObservedZone} from './decide-capacity.js';
import {capacityKinds, type KindCounts} from './zone-capacity.js';

/** Upstreams of a zone that serve, as the store lists them, and whether this host orders them. */
export type ServingZone = {zone: Zone; serving: Readonly<KindCounts>; isHeld: boolean};

/** What a host remembers of the orders for a service. */
export type OrderBook = {
	/** Compares what serves with the orders; returns the zones as a decision sees them. */
	observe: (zones: readonly ServingZone[], now: Milliseconds) => ObservedZone[];
	/** Records the outcome of an order. */
	record: (change: CapacityChange, outcome: DutyOutcome, now: Milliseconds) => void;
	/** Whether a zone has just lost its reclaimable upstreams. */
	isRecovering: (now: Milliseconds) => boolean;
	/** Forgets all orders, as another host may order by now. */
	forget: () => void;
	/** Returns the orders of unknown outcome, which are to be repeated. */
	getUnknown: () => CapacityChange[];
};

/** Last order of a kind in a zone, or what served when this host began to order there. */
type Order = {
	count: number;
	changedAt: Milliseconds;
	/** Whether the operators' service may not have accepted it. */
	isUnknown: boolean;
	/** Most that the operators' service may go by. */
	most: number;
	/** Most that could be had at the last failure; it counts until `limitedUntil`. */
	limit: number;
	limitedUntil: Milliseconds;
	/** Failures in a row. */
	failures: number;
	/** Number of the last order that was accepted. */
	accepted: number;
	/** Number that served when last observed. */
	served: number;
	/** Since when fewer than ordered serve; undefined while as many do. */
	missingSince: Milliseconds | undefined;
};

/** Times from an order until its upstreams are given up, in times that they need to start. */
const arrivalFactor = 2;
/** Failures in a row after which the pause until the next order no longer doubles. */
const maxDoublings = 3;
/** Part of the time to start that passes between two reductions. */
const reductionPart = 1 / 2;

const createOrder = (count: number): Order => ({
	count, accepted: count, most: count, changedAt: Number.NEGATIVE_INFINITY, isUnknown: false, limit: 0, limitedUntil: Number.NEGATIVE_INFINITY, failures: 0, served: count, missingSince: undefined,
});

/** Times of a book: until an ordered upstream serves, and after a zone has lost its reclaimable ones until it has to be made up for. */
export type OrderTimes = {startTime: Milliseconds; recoveryTime: Milliseconds};

/** Creates a book without orders. */
export const createOrderBook = ({startTime, recoveryTime}: OrderTimes): OrderBook => {
	let lostAt = Number.NEGATIVE_INFINITY;
	const orders = new Map<Zone, Record<CapacityKind, Order>>();

	/** Limits a kind in a zone to `most` for some time, longer with each failure in a row. */
	const limit = (order: Order, most: number, now: Milliseconds): void => {
		order.count = most;
		order.limit = most;
		order.limitedUntil = now + (startTime * (2 ** Math.min(maxDoublings, order.failures)));
		order.failures += 1;
		order.missingSince = undefined;
	};

	const isOverdue = (since: Milliseconds, now: Milliseconds): boolean => now - since > startTime * arrivalFactor;

	const updateServed = (order: Order, serving: number, now: Milliseconds): void => {
		if (serving >= order.count) {
			order.missingSince = undefined;
			order.failures = serving > order.limit ? 0 : order.failures;
			order.count = isOverdue(order.changedAt, now) ? serving : order.count;
			return;
		}

		order.missingSince ??= now;
		if (isOverdue(Math.max(order.missingSince, order.changedAt), now)) {
			limit(order, serving, now);
		}
	};

	const updateOrder = (kind: CapacityKind, order: Order, serving: number, now: Milliseconds): void => {
		if (kind === 'reclaimable' && serving === 0 && order.served > 0) {
			// The zone has lost its reclaimable upstreams: to have them again takes a new order.
			lostAt = order.count > 0 ? now : lostAt;
			order.count = 0;
		}

		updateServed(order, serving, now);
		order.served = serving;
	};

	/** Returns the orders of a zone, after it has been compared with what serves there. */
	const update = ({zone, serving, isHeld}: ServingZone, now: Milliseconds): Record<CapacityKind, Order> => {
		const known = isHeld ? orders.get(zone) : undefined;
		const current = known ?? {regular: createOrder(serving.regular), reclaimable: createOrder(serving.reclaimable)};
		orders.set(zone, current);
		for (const kind of capacityKinds) {
			updateOrder(kind, current[kind], serving[kind], now);
		}

		return current;
	};

	const isLimitedNow = (order: Order, now: Milliseconds): boolean => now < order.limitedUntil;
	const getAvailable = (order: Order, now: Milliseconds): number => isLimitedNow(order, now) ? Math.max(order.limit, order.served) : Number.POSITIVE_INFINITY;
	const getMost = ({count, most, isUnknown}: Order): number => isUnknown ? Math.max(count, most) : count;
	const mayGiveBack = (order: Order, now: Milliseconds): boolean => now - order.changedAt >= startTime * reductionPart;

	return {
		observe: (zones, now) => zones.map(observed => {
			const {regular, reclaimable} = update(observed, now);
			return {
				zone: observed.zone,
				serving: observed.serving,
				ordered: {regular: regular.count, reclaimable: reclaimable.count},
				atMost: {regular: getMost(regular), reclaimable: getMost(reclaimable)},
				available: {regular: getAvailable(regular, now), reclaimable: getAvailable(reclaimable, now)},
				mayGiveBack: {regular: mayGiveBack(regular, now), reclaimable: mayGiveBack(reclaimable, now)},
			};
		}),
		record({zone, kind, count}, outcome, now) {
			const order = orders.get(zone)?.[kind];
			if (order === undefined) {
				return;
			}

			switch (outcome.kind) {
				case 'accepted':
				case 'unknown': {
					order.most = outcome.kind === 'unknown' ? Math.max(order.most, count) : count;
					order.count = count;
					order.changedAt = now;
					order.isUnknown = outcome.kind === 'unknown';
					order.accepted = order.isUnknown ? order.accepted : count;
					break;
				}

				case 'exhausted':
				case 'rejected': {
					limit(order, order.isUnknown ? Math.max(order.accepted, order.served) : order.count, now);
					order.isUnknown = false;
					break;
				}

				case 'not-held':
				case 'unavailable': {
					break;
				}
			}
		},
		forget() {
			orders.clear();
		},
		isRecovering: now => now - lostAt < recoveryTime,
		getUnknown: () => [...orders].flatMap(([zone, byKind]) => capacityKinds.flatMap(kind => {
			const {count, isUnknown} = byKind[kind];
			const change = {
				zone, kind, before: count, count,
			};
			return isUnknown ? [change] : [];
		})),
	};
};
