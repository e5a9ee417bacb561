import type {UsageReport} from '@gentianlift/duties';
import type {CustomerId, Milliseconds} from '@gentianlift/types';
import type {ReportRecord} from './report-record.js';

/** Why windows are not reported: nothing is known of them, only a part of their counts is, they were decided before the store lost that, or the reports were not accepted in time, or at all. */
export type LossReason = 'no-counts' | 'counts-incomplete' | 'decided-before' | 'overdue' | 'rejected';

/** Windows, from the first to the last, that are not reported. */
export type LostWindows = {first: number; last: number; reason: LossReason};

/** What the holder of the duty decides by. */
export type PlanState = {
	/** What stands in the store; undefined if nothing does, as at the start of a fleet. */
	record: ReportRecord | undefined;
	/** True time. */
	now: Milliseconds;
	windowLength: Milliseconds;
	/** Time from the end of a window until its report is fixed, in which counts still arrive. */
	settlingTime: Milliseconds;
	/** Since when all counts are known, in true time; infinity if that isn't known. */
	completeSince: Milliseconds;
	/** Since when the counts of the hosts have come to this one, in true time; infinity if they don't. */
	candidateSince: Milliseconds;
	/** First window of which counts are known; infinity if there is none. */
	firstWindow: number;
	sum: (window: number) => Record<CustomerId, number> | undefined;
	/** Whether the report of a window needs no further call. */
	isDone: (window: number) => boolean;
	/** Last window that this process knows as decided, which the record may lack after a restore of the store. */
	decidedThrough: number;
	/** Returns the report of a window that this process knows as fixed; undefined if there is none. */
	getFixed: (window: number) => UsageReport | undefined;
};

/** What to write to the store, and what is new in it. */
export type ReportPlan = {
	record: ReportRecord;
	fixed: UsageReport[];
	lost: LostWindows[];
};

/** Most reports that wait in the store, and most characters of their counts, of which one report may have more. */
const limits = {reports: 12, length: 16_000} as const;

/** Returns the number of the window that a time is in. */
export const getWindow = (time: Milliseconds, windowLength: Milliseconds): number => Math.floor(time / windowLength);

/** Splits reports into the newest ones that the record has room for, and those that it hasn't. */
const limitReports = (reports: readonly UsageReport[]): {kept: UsageReport[]; dropped: UsageReport[]} => {
	let length = 0;
	let count = 0;
	for (const {counts} of reports.toReversed()) {
		length += JSON.stringify(counts).length;
		if (count >= limits.reports || (count > 0 && length > limits.length)) {
			break;
		}

		count += 1;
	}

	return {kept: reports.slice(reports.length - count), dropped: reports.slice(0, reports.length - count)};
};

/** Joins windows that follow each other and are lost for the same reason. */
const joinLost = (lost: readonly LostWindows[]): LostWindows[] => {
	const joined: LostWindows[] = [];
	for (const windows of lost) {
		const previous = joined.at(-1);
		if (previous?.reason === windows.reason && previous.last + 1 === windows.first) {
			joined[joined.length - 1] = {...previous, last: windows.last};
		} else {
			joined.push(windows);
		}
	}

	return joined;
};

/** Decides on one window. At the start of a fleet nothing has run before the counts began. */
const decideWindow = (window: number, {
	record, windowLength, completeSince, decidedThrough, sum, getFixed,
}: PlanState): {kind: 'fixed'; report: UsageReport} | {kind: 'lost'; reason: LossReason} => {
	const fixed = getFixed(window);
	if (fixed !== undefined) {
		return {kind: 'fixed', report: fixed};
	}

	if (window <= decidedThrough) {
		return {kind: 'lost', reason: 'decided-before'};
	}

	const counts = sum(window);
	if (record === undefined || completeSince <= window * windowLength) {
		return {kind: 'fixed', report: {window, counts: counts ?? {}}};
	}

	return {kind: 'lost', reason: counts === undefined ? 'no-counts' : 'counts-incomplete'};
};

/** Returns the window that is to be decided next; at the start of a fleet, the first one that a host knows of. */
const findNextWindow = ({record, firstWindow, completeSince, windowLength}: PlanState): number =>
	record === undefined ? Math.min(firstWindow, getWindow(completeSince, windowLength)) : record.last + 1;

/**
Plans which reports are fixed next; returns undefined while no further window has ended and settled, or while the counts of the hosts may still be on their way to a new candidate.

A window is decided once: what stands in the record is kept as it is until its report is accepted.
*/
export const planReports = (state: PlanState): ReportPlan | undefined => {
	const {
		record, now, windowLength, settlingTime, isDone,
	} = state;
	const last = getWindow(now - settlingTime, windowLength) - 1;
	const next = findNextWindow(state);
	if (next > last || now - state.candidateSince < settlingTime) {
		return undefined;
	}

	const fixed: UsageReport[] = [];
	const lost: LostWindows[] = [];
	const first = Math.max(next, last - limits.reports + 1);
	if (first > next) {
		lost.push({first: next, last: first - 1, reason: 'overdue'});
	}

	for (let window = first; window <= last; window++) {
		const decision = decideWindow(window, state);
		switch (decision.kind) {
			case 'fixed': {
				fixed.push(decision.report);
				break;
			}

			case 'lost': {
				lost.push({first: window, last: window, reason: decision.reason});
				break;
			}
		}
	}

	const waiting = (record?.reports ?? []).filter(({window}) => !isDone(window));
	const {kept, dropped} = limitReports([...waiting, ...fixed]);
	const overdue = dropped.map(({window}): LostWindows => ({first: window, last: window, reason: 'overdue'}));
	return {
		record: {last, reports: kept},
		fixed: fixed.filter(report => kept.includes(report)),
		lost: joinLost([...overdue, ...lost].toSorted((one, other) => one.first - other.first)),
	};
};
