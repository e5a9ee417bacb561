import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';
import type {HostId, Milliseconds} from '@gentianlift/types';
import type {CallPace} from './call-pace.js';
import type {DutySubject} from './duty.js';
import type {DutyHolder, Holding} from './duty-holder.js';
import type {DutyOutcome, FencedCall} from './operators-service.js';
import type {Separation} from './separation.js';
import {getSubjectName} from './subject-key.js';
import {dutyTiming} from './timing.js';

/** Makes a call for a subject as its holder. */
export type SendCall = (call: FencedCall) => Promise<DutyOutcome>;

/** Calls of this host to the operators' service. */
export type DutyCalls = {
	/** Makes a call if this host holds the subject until it has ended; calls of a subject go one after the other. */
	make: (subject: DutySubject, send: SendCall) => Promise<DutyOutcome>;
	/** Ends the calls that are in flight; resolves when they have ended. */
	end: () => Promise<void>;
};

/** Dependencies of the calls. */
export type DutyCallsOptions = {
	host: HostId;
	/** Longest time of a call. */
	timeout: Milliseconds;
	getHolding: DutyHolder['getHolding'];
	pace: CallPace;
	separation: Separation;
	/** Called when calls have failed for long, though another host's may succeed. */
	onFailing: () => void;
	clock: Clock;
	logger: Logger;
	metrics: Metrics;
};

/** Returns for how long a host must hold a subject to make a call. */
export const getCallDuration = (timeout: Milliseconds): Milliseconds => timeout + dutyTiming.callOverrun;

/** Creates the calls of a host that has made none. */
export const createDutyCalls = ({
	host, timeout, getHolding, pace, separation, onFailing, clock, logger, metrics,
}: DutyCallsOptions): DutyCalls => {
	const {every} = clock;
	const inFlight = new Map<AbortController, Promise<DutyOutcome>>();
	const turns = new Map<string, Promise<unknown>>();
	/** Calls that have failed one after the other, without a long pause. */
	let failures: {since: Milliseconds; last: Milliseconds} | undefined;

	/** Notes whether the operators' service answers this host. */
	const noteOutcome = ({kind}: DutyOutcome): void => {
		if (kind !== 'unknown' && kind !== 'unavailable') {
			failures = undefined;
			return;
		}

		const now = clock.monotonic();
		const isContinued = failures !== undefined && now - failures.last <= dutyTiming.maxFailurePause;
		failures = {since: isContinued ? failures!.since : now, last: now};
		if (now - failures.since >= dutyTiming.maxCallFailure) {
			failures = undefined;
			onFailing();
		}
	};

	const report = ({subject, token}: Holding, outcome: DutyOutcome, duration: Milliseconds): void => {
		const reason = 'reason' in outcome ? outcome.reason : undefined;
		logger.info('duty-call', {
			subject: getSubjectName(subject), token, outcome: outcome.kind, reason, after: Math.round(duration),
		});
		metrics.count('duty_calls_total', {duty: subject.duty, outcome: outcome.kind});
	};

	/** Sends a call and ends it before the lease can end. */
	const sendWhileHeld = async ({subject, token}: Holding, send: SendCall): Promise<DutyOutcome> => {
		const controller = new AbortController();
		const stopChecking = every(dutyTiming.callCheckInterval, () => {
			if (getHolding(subject, dutyTiming.callCheckInterval)?.token !== token) {
				controller.abort();
			}
		});
		separation.recordCall(getSubjectName(subject));
		const call = send({holder: host, token, signal: controller.signal});
		inFlight.set(controller, call);
		try {
			const outcome = await call;
			if (!controller.signal.aborted) {
				noteOutcome(outcome);
			}

			return outcome;
		} finally {
			stopChecking();
			inFlight.delete(controller);
			separation.recordCall(getSubjectName(subject));
		}
	};

	const makeInTurn = async (subject: DutySubject, send: SendCall): Promise<DutyOutcome> => {
		const duration = getCallDuration(timeout);
		if (getHolding(subject, duration) === undefined) {
			return {kind: 'not-held'};
		}

		await pace.wait();
		const holding = getHolding(subject, duration);
		if (holding === undefined) {
			return {kind: 'not-held'};
		}

		const startedAt = clock.monotonic();
		const outcome = await sendWhileHeld(holding, send);
		report(holding, outcome, clock.monotonic() - startedAt);
		return outcome;
	};

	return {
		async make(subject, send) {
			const name = getSubjectName(subject);
			const next = (turns.get(name) ?? Promise.resolve()).then(async () => makeInTurn(subject, send));
			turns.set(name, next.catch(() => undefined));
			return next;
		},
		async end() {
			for (const controller of inFlight.keys()) {
				controller.abort();
			}

			await Promise.allSettled(inFlight.values());
		},
	};
};
