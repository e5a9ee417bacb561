import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';
import {getEra} from '@gentianlift/platform';
import type {HostId, Milliseconds} from '@gentianlift/types';
import type {DutySubject} from './duty.js';
import type {DutyView} from './duty-view.js';
import type {Separation} from './separation.js';
import {
	getCandidateKey, getDutyKey, getSubjectName, parseDutyRecord,
} from './subject-key.js';
import {dutyTiming} from './timing.js';

/** Decides when this host may take over subjects that nobody holds. */
export type Candidacy = {
	/** Notes which subjects are free by now; is called regularly. */
	observe: (subjects: readonly DutySubject[]) => void;
	/** Whether it is this host's turn to take the subject. */
	isTurn: (subject: DutySubject) => boolean;
	/** Whether this host may begin to act for the subject, if it holds it. */
	mayAct: (subject: DutySubject) => boolean;
	/** Whether a revision is of the era of the store that this host knows. */
	isCurrent: (revision: number) => boolean;
	/** Records an attempt to take the subject; the next is made after `pause` at the earliest. */
	recordAttempt: (subject: DutySubject, pause: Milliseconds) => void;
	/** Returns the hosts that hold the subject or take it over next. */
	getCandidates: (subject: DutySubject) => HostId[];
};

/** Dependencies of a candidacy. */
export type CandidacyOptions = {
	host: HostId;
	view: DutyView;
	separation: Separation;
	clock: Pick<Clock, 'monotonic'>;
	logger: Logger;
	metrics: Metrics;
};

/** Number of hosts that may take a subject over: enough that one is left if some are cut off or have just started. */
const candidateCount = 3;

/** A subject that nobody holds; `takeableSince` says since when this host might take it, and `isReported` that the alarm is logged. */
type FreeSubject = {since: Milliseconds; takeableSince: Milliseconds | undefined; isReported: boolean};

/**
Creates the candidacy of a host.

Its waits go by the monotonic clock, which may omit suspensions but is never ahead, so that no wait is too short.
*/
export const createCandidacy = ({
	host, view, separation, clock, logger, metrics,
}: CandidacyOptions): Candidacy => {
	const free = new Map<string, FreeSubject>();
	/** When the next attempts to take subjects may be made. */
	const attemptTimes = new Map<string, Milliseconds>();
	let era: number | undefined;
	let restoredAt = Number.NEGATIVE_INFINITY;

	/** A restored store may lack the entry of a holder that still acts. */
	const noticeRestore = (): void => {
		const current = getEra(view.getRevision());
		if (era !== undefined && current !== era) {
			restoredAt = clock.monotonic();
		}

		era = current;
	};

	const hasSettled = (): boolean => clock.monotonic() - restoredAt >= dutyTiming.leaseDuration;

	const mayAct = (subject: DutySubject): boolean => hasSettled() && separation.hasPassed(getSubjectName(subject));

	const noticeFree = (subject: DutySubject): void => {
		const name = getSubjectName(subject);
		const now = clock.monotonic();
		const known = free.get(name) ?? {since: now, takeableSince: undefined, isReported: false};
		const unheld = now - known.since;
		const isAlarm = unheld >= dutyTiming.maxUnheldTime;
		if (isAlarm && !known.isReported) {
			logger.warn('duty-unheld', {subject: name, since: Math.round(unheld), revision: view.getRevision()});
		}

		free.set(name, {since: known.since, takeableSince: mayAct(subject) ? known.takeableSince ?? now : undefined, isReported: isAlarm});
	};

	const hasWaitedForOthers = (subject: DutySubject, since: Milliseconds): boolean => {
		const position = view.chooseHosts(getCandidateKey(subject), candidateCount).indexOf(host);
		return position !== -1 && clock.monotonic() - since >= position * dutyTiming.candidateDelay;
	};

	return {
		observe(subjects) {
			if (view.getRevision() === 0) {
				return;
			}

			noticeRestore();
			const unheld = subjects.filter(subject => view.getEntry(getDutyKey(subject)) === undefined);
			const names = new Set(unheld.map(subject => getSubjectName(subject)));
			for (const name of free.keys()) {
				if (!names.has(name)) {
					free.delete(name);
				}
			}

			for (const subject of unheld) {
				noticeFree(subject);
			}

			metrics.setGauge('duties_unheld', [...free.values()].filter(({isReported}) => isReported).length);
		},
		isTurn(subject) {
			const name = getSubjectName(subject);
			const since = free.get(name)?.takeableSince;
			const hasPaused = clock.monotonic() >= (attemptTimes.get(name) ?? Number.NEGATIVE_INFINITY);
			return since !== undefined && hasPaused && hasWaitedForOthers(subject, since);
		},
		mayAct,
		isCurrent: revision => getEra(revision) === era,
		recordAttempt(subject, pause) {
			attemptTimes.set(getSubjectName(subject), clock.monotonic() + pause);
		},
		getCandidates(subject) {
			const entry = view.getEntry(getDutyKey(subject));
			const holder = entry === undefined ? undefined : parseDutyRecord(entry)?.host;
			return [...new Set([holder ?? [], view.chooseHosts(getCandidateKey(subject), candidateCount)].flat())];
		},
	};
};
