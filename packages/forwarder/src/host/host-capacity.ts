import {startCapacityOrders} from '@gentianlift/capacity';
import type {
	Fleet, HostRecord, LoadTracker, Loop,
} from '@gentianlift/discovery';
import type {ForwarderContext} from '../context.js';

/** What a host's orders of upstreams are created from, besides its context. */
export type HostCapacityOptions = {
	record: HostRecord;
	fleet: Pick<Fleet, 'reportExchange'>;
	loads: LoadTracker;
	onLoopFailure: (loop: string) => void;
};

/** Lets the host order the upstreams that services need, where it holds the duty to; returns undefined in a fleet without duties. */
export const startHostCapacity = ({
	clock, logger, metrics, view, tracker, duties,
}: Pick<ForwarderContext, 'clock' | 'logger' | 'metrics' | 'view' | 'tracker' | 'duties'>, {
	record, fleet, loads, onLoopFailure,
}: HostCapacityOptions): Loop | undefined => duties === undefined
	? undefined
	: startCapacityOrders({
		clock,
		logger,
		metrics,
		own: record,
		view,
		getSilence: fleet.reportExchange.getSilence,
		loads,
		duties,
		getPrefillRate: service => tracker.observe(service, view.getUpstreams(service.name), clock.monotonic()).prefillRate,
		onFailure: onLoopFailure,
	});
