import type {Milliseconds} from '@gentianlift/types';
import type {Call, Progress} from '../call.js';
import type {ForwarderContext} from '../context.js';

const serviceTimeMetric = 'service_duration';

/** Records the time from sending a call to the end of its answer. */
export const recordServiceTime = ({route}: Call, duration: Milliseconds, {metrics}: Pick<ForwarderContext, 'metrics'>): void => {
	metrics.record(serviceTimeMetric, duration, {route: route.name});
};

/** Returns the time that a call takes once it is sent, as far as this host has seen calls of its route end: 19 of 20 take no longer. */
const getServiceTime = ({route}: Call, {metrics}: Pick<ForwarderContext, 'metrics'>): Milliseconds =>
	metrics.getSummary(serviceTimeMetric, {route: route.name})?.p95 ?? route.latencyTarget;

/** Returns when nobody waits for the first bytes of a call's answer any more: when its caller leaves, or when this host stops serving. */
export const getLatestFirstToken = ({leavesAt}: Pick<Call, 'leavesAt'>, {getServingEnd}: Pick<ForwarderContext, 'getServingEnd'>): Milliseconds =>
	Math.min(leavesAt, getServingEnd());

/** Whether a call that is sent now would probably be cut off by the end of this host; a stream that has begun goes on in any case, as its caller can't be told to return. */
export const isTooLateToStart = (call: Call, {hasBegun}: Progress, now: Milliseconds, context: Pick<ForwarderContext, 'metrics' | 'getServingEnd'>): boolean => {
	const servingEnd = context.getServingEnd();
	if (servingEnd === Number.POSITIVE_INFINITY || hasBegun || call.deadline <= servingEnd) {
		return false;
	}

	return now + getServiceTime(call, context) > servingEnd;
};
