import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';
import type {
	HostId, Incarnation, KeyValueService, Milliseconds,
} from '@gentianlift/types';
import type {Candidacy} from './candidacy.js';
import type {DutySubject} from './duty.js';
import type {DutyView} from './duty-view.js';
import {createHostLease} from './host-lease.js';
import {
	getDutyKey, getSubjectName, parseDutyRecord, type DutyRecord,
} from './subject-key.js';
import {dutyTiming} from './timing.js';

/** Right of this host to act for a subject, as long as its lease is valid. */
export type Holding = {subject: DutySubject; token: number};

/** Why this host may no longer act for a subject. */
export type DutyLossReason = 'lapsed' | 'unconfirmed' | 'stopped' | 'calls-failed' | 'subject-removed';

/** Holds duties of this host under one lease. */
export type DutyHolder = {
	/** Returns the holding of a subject that this host may act for until `duration` from now. */
	getHolding: (subject: DutySubject, duration: Milliseconds) => Holding | undefined;
	/** Renews what is held and takes what is free, where that is due; is called regularly. */
	check: () => Promise<void>;
	/** Ends the calls in flight, and then the lease. */
	giveUp: (reason: DutyLossReason) => Promise<void>;
	/** Gives up all duties for good. */
	stop: () => Promise<void>;
};

/** Dependencies of holding duties. */
export type DutyHolderOptions = {
	self: {host: HostId; incarnation: Incarnation};
	store: Pick<KeyValueService, 'compareAndSwap' | 'grantLease' | 'renewLease' | 'endLease'>;
	view: Pick<DutyView, 'getEntry'>;
	getSubjects: () => DutySubject[];
	candidacy: Candidacy;
	/** Ends the calls that are in flight, at once; resolves when they have ended. */
	endCalls: () => Promise<void>;
	clock: Clock;
	logger: Logger;
	metrics: Metrics;
};

/** Creates it; it holds nothing before the first check. */
export const createDutyHolder = ({
	self, store, view, getSubjects, candidacy, endCalls, clock, logger, metrics,
}: DutyHolderOptions): DutyHolder => {
	const lease = createHostLease(store, clock);
	const holdings = new Map<string, Holding>();
	/** Whether the lease was valid at the last check. */
	let isConfirmed = true;
	let isStopped = false;
	let currentCheck: Promise<void> | undefined;

	const reportLoss = ({subject, token}: Holding, reason: DutyLossReason): void => {
		const level = reason === 'stopped' || reason === 'subject-removed' ? 'info' : 'warn';
		logger[level]('duty-lost', {subject: getSubjectName(subject), token, reason});
		metrics.count('duty_losses_total', {duty: subject.duty, reason});
	};

	const recordHeld = (): void => {
		metrics.setGauge('duties_held', isConfirmed ? holdings.size : 0);
	};

	const lose = (holding: Holding, reason: DutyLossReason): void => {
		holdings.delete(getSubjectName(holding.subject));
		reportLoss(holding, reason);
		recordHeld();
	};

	const loseAll = (reason: DutyLossReason): void => {
		for (const holding of holdings.values()) {
			lose(holding, reason);
		}
	};

	const hold = (subject: DutySubject, token: number): void => {
		if (!Number.isSafeInteger(token)) {
			logger.error('duty-token-invalid', {subject: getSubjectName(subject), token});
			return;
		}

		holdings.set(getSubjectName(subject), {subject, token});
		isConfirmed = true;
		logger.info('duty-taken', {subject: getSubjectName(subject), token, lease: lease.getId()});
		metrics.count('duty_takeovers_total', {duty: subject.duty});
		recordHeld();
	};

	/** Logs that the lease may have ended, or that it hasn't. */
	const noticeConfirmation = (next: boolean): void => {
		if (next === isConfirmed || holdings.size === 0) {
			isConfirmed = next;
			return;
		}

		isConfirmed = next;
		for (const holding of holdings.values()) {
			if (next) {
				logger.info('duty-confirmed', {subject: getSubjectName(holding.subject), token: holding.token});
			} else {
				reportLoss(holding, 'unconfirmed');
			}
		}

		recordHeld();
	};

	/** Whether the store shows that another holder has followed this host. */
	const isSucceeded = ({subject, token}: Holding): boolean => (view.getEntry(getDutyKey(subject))?.revision ?? 0) > token;

	const endLease = async (id: string | undefined): Promise<void> => {
		if (id !== undefined) {
			await store.endLease(id);
		}
	};

	const giveUp = async (reason: DutyLossReason): Promise<void> => {
		const id = lease.drop();
		loseAll(reason);
		await endCalls();
		await endLease(id);
	};

	const keepHoldings = async (): Promise<void> => {
		if (lease.getId() === undefined) {
			return;
		}

		const state = await lease.keep();
		if (state === 'lost' || state === 'overdue') {
			await giveUp('lapsed');
			return;
		}

		noticeConfirmation(state === 'kept');
		for (const holding of holdings.values()) {
			if (isSucceeded(holding)) {
				lose(holding, 'lapsed');
			}
		}
	};

	/** Whether the entry of a subject was written under the lease, as by a write that got no answer. */
	const isOwnEntry = (subject: DutySubject): boolean => {
		const entry = view.getEntry(getDutyKey(subject));
		const record = entry === undefined ? undefined : parseDutyRecord(entry);
		return record !== undefined && record.lease === lease.getId() && record.host === self.host && record.incarnation === self.incarnation;
	};

	/** Goes by the entry that the store has under this lease; a lease creates one entry of a subject at most. */
	const adopt = (subject: DutySubject): void => {
		const entry = view.getEntry(getDutyKey(subject));
		if (entry !== undefined && candidacy.mayAct(subject)) {
			hold(subject, entry.revision);
		}
	};

	const take = async (subject: DutySubject, leaseId: string): Promise<void> => {
		const record: DutyRecord = {...self, lease: leaseId};
		const outcome = await store.compareAndSwap({
			key: getDutyKey(subject), value: JSON.stringify(record), expected: 0, lease: leaseId,
		});
		metrics.count('duty_attempts_total', {duty: subject.duty, outcome: outcome.kind});
		if (outcome.kind === 'rejected') {
			candidacy.recordAttempt(subject, dutyTiming.rejectedAttemptInterval);
		}

		if (outcome.kind === 'applied' && lease.getId() === leaseId && candidacy.isCurrent(outcome.revision)) {
			hold(subject, outcome.revision);
		}
	};

	const takeAll = async (subjects: readonly DutySubject[]): Promise<void> => {
		for (const subject of subjects) {
			candidacy.recordAttempt(subject, dutyTiming.attemptInterval);
		}

		if (subjects.length === 0 || !await lease.acquire()) {
			return;
		}

		for (const subject of subjects) {
			const leaseId = lease.getId();
			if (leaseId !== undefined && !isStopped) {
				// eslint-disable-next-line no-await-in-loop -- A few writes, which must not exceed the store's rate.
				await take(subject, leaseId);
			}
		}
	};

	const forgetRemoved = (subjects: readonly DutySubject[]): void => {
		const names = new Set(subjects.map(subject => getSubjectName(subject)));
		for (const [name, holding] of holdings) {
			if (!names.has(name)) {
				lose(holding, 'subject-removed');
			}
		}
	};

	const runCheck = async (): Promise<void> => {
		const subjects = getSubjects();
		forgetRemoved(subjects);
		candidacy.observe(subjects);
		await keepHoldings();
		const others = subjects.filter(subject => !holdings.has(getSubjectName(subject)));
		for (const subject of others.filter(other => isOwnEntry(other))) {
			adopt(subject);
		}

		if (!isStopped) {
			await takeAll(others.filter(subject => candidacy.isTurn(subject)));
		}

		if (holdings.size === 0) {
			await endLease(lease.drop());
		}
	};

	return {
		getHolding: (subject, duration) => lease.isValidFor(duration) ? holdings.get(getSubjectName(subject)) : undefined,
		async check() {
			if (currentCheck !== undefined || isStopped) {
				return;
			}

			currentCheck = runCheck();
			try {
				await currentCheck;
			} finally {
				currentCheck = undefined;
			}
		},
		giveUp,
		async stop() {
			isStopped = true;
			await giveUp('stopped');
			// A lease that was being acquired is ended, too.
			await currentCheck?.catch(() => undefined);
			await giveUp('stopped');
		},
	};
};
