import type {ServiceCall} from '@gentianlift/fakes';
import {countDuplicateBookings, countErrors, type CallRecord} from '@gentianlift/trial';
import type {Milliseconds} from '@gentianlift/types';

/** Effect of a fault on the requests of a run, as counts of requests where not said otherwise. */
export type FaultImpact = {
	sent: number;
	/** Requests that failed after their retries. */
	lost: number;
	/** Requests with a truncated answer, whether or not a retry succeeded. */
	cut: number;
	wrong: number;
	/** Executions of bookings beyond the first of each. */
	duplicated: number;
	/** Failed requests that were reported as not run although the upstream executed them. */
	falseNotRun: number;
	/** Failed bookings whose caller could not learn whether they were executed. */
	unknown: number;
	/** Requests that succeeded, or got a wrong answer, after at least one retry. */
	retried: number;
	/** Time from the fault to the arrival of the last request with a failed attempt. Refusals by a customer's limits don't count as failed attempts. */
	recoveredAfter: Milliseconds;
	/** Number of failed attempts by error kind. */
	errors: Record<string, number>;
};

const truncationErrorKinds = new Set(['cut-short', 'answer-incomplete']);
/** Excluded from the recovery time, because customers' limits refuse requests with or without a fault. */
const customerLimitErrorKinds = new Set(['customer-rate', 'customer-tokens', 'customer-concurrency']);

/** Computes the effect of a fault from the callers' records and the calls that the services executed. */
export const getFaultImpact = (records: CallRecord[], calls: ServiceCall[], injectedAt: Milliseconds): FaultImpact => {
	const failed = records.filter(({outcome}) => outcome === 'failed');
	const executedRequests = new Set(calls.map(({request}) => request));
	const affected = records.filter(({errors, scheduledAt}) => errors.some(kind => !customerLimitErrorKinds.has(kind)) && scheduledAt >= injectedAt);
	return {
		sent: records.length,
		lost: failed.length,
		cut: records.filter(({errors}) => errors.some(kind => truncationErrorKinds.has(kind))).length,
		wrong: records.filter(({outcome}) => outcome === 'wrong').length,
		duplicated: countDuplicateBookings(calls),
		falseNotRun: failed.filter(({ran, request}) => ran === 'not-run' && executedRequests.has(request)).length,
		unknown: failed.filter(({ran, idempotencyKey}) => ran === 'unknown' && idempotencyKey !== undefined).length,
		retried: records.filter(({outcome, retries}) => outcome !== 'failed' && retries > 0).length,
		recoveredAfter: Math.max(0, ...affected.map(({scheduledAt}) => scheduledAt - injectedAt)),
		errors: countErrors(records),
	};
};
