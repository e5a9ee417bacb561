import type {ServiceCall} from '@gentianlift/fakes';
import type {CallRecord} from '@gentianlift/trial';
import type {Milliseconds} from '@gentianlift/types';

/** What a fault cost. */
export type Figures = {
	sent: number;
	/** Requests that failed after their retries. */
	lost: number;
	/** Answers that ended before they were whole, though a retry may have made up for it. */
	cut: number;
	wrong: number;
	/** Bookings carried out more than once. */
	doubled: number;
	/** Failures told as not run of calls that did run. */
	falseNotRun: number;
	/** Bookings whose caller was left without knowing. */
	unknown: number;
	/** Requests that needed a retry, lost ones not counted. */
	retried: number;
	/** Time from the fault to the arrival of the last request with a failed attempt, refusals by a customer's limits not counted. */
	recoveredAfter: Milliseconds;
	/** Failed attempts by error kind. */
	errors: Record<string, number>;
};

const cutKinds = new Set(['cut-short', 'answer-incomplete']);
/** Limits of customers refuse with or without a fault. */
const limitKinds = new Set(['customer-rate', 'customer-tokens', 'customer-concurrency']);

const countKinds = (records: CallRecord[]): Record<string, number> => {
	const counts: Record<string, number> = {};
	for (const kind of records.flatMap(({errors}) => errors)) {
		counts[kind] = (counts[kind] ?? 0) + 1;
	}

	return counts;
};

/** Gets what a fault cost from what callers saw and what the services carried out. */
export const getFigures = (records: CallRecord[], calls: ServiceCall[], causedAt: Milliseconds): Figures => {
	const failed = records.filter(({outcome}) => outcome === 'failed');
	const booked = calls.map(({idempotencyKey}) => idempotencyKey).filter(key => key !== '');
	const carriedOut = new Set(calls.map(({request}) => request));
	const troubled = records.filter(({errors, at}) => errors.some(kind => !limitKinds.has(kind)) && at >= causedAt);
	return {
		sent: records.length,
		lost: failed.length,
		cut: records.filter(({errors}) => errors.some(kind => cutKinds.has(kind))).length,
		wrong: records.filter(({outcome}) => outcome === 'wrong').length,
		doubled: booked.length - new Set(booked).size,
		falseNotRun: failed.filter(({ran, request}) => ran === 'not-run' && carriedOut.has(request)).length,
		unknown: failed.filter(({ran, idempotencyKey}) => ran === 'unknown' && idempotencyKey !== undefined).length,
		retried: records.filter(({outcome, retries}) => outcome !== 'failed' && retries > 0).length,
		recoveredAfter: Math.max(0, ...troubled.map(({at}) => at - causedAt)),
		errors: countKinds(records),
	};
};
