import type {Clock} from '@gentianlift/clock';
import type {Duties, DutyOutcome, UsageReport} from '@gentianlift/duties';
import type {Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';
import type {Milliseconds} from '@gentianlift/types';

/** Sends reports that are fixed until they are accepted. */
export type ReportSender = {
	/** Sends those of the reports that are due to be sent, oldest first; resolves when no call is in flight. */
	send: (reports: readonly UsageReport[]) => Promise<void>;
	/** Whether a report needs no further call of this process. */
	isDone: (window: number) => boolean;
	/** Forgets reports of windows before one. */
	dropBefore: (window: number) => void;
};

/** Options of a sender. */
export type ReportSenderOptions = {
	duties: Pick<Duties, 'reportUsage'>;
	/** Returns the true time since the end of a window. */
	getAge: (window: number) => Milliseconds;
	/** Time after the end of a window by which its report is due. */
	usageDelay: Milliseconds;
	/** Whether this process has fixed the report of a window, which it therefore sends first. */
	isOwn: (window: number) => boolean;
	/** Called with the window of a report that the service refuses for good. */
	onRejected: (window: number) => void;
	clock: Pick<Clock, 'monotonic'>;
	logger: Logger;
	metrics: Metrics;
};

/** Calls made for a report. */
type Delivery = {attempts: number; nextAt: Milliseconds; isDone: boolean};

/** Pause after the first failed call for a report, which doubles up to the longest. */
const firstPause: Milliseconds = 1000;
const longestPause: Milliseconds = 5000;

/** Creates a sender that has sent nothing. */
export const createReportSender = ({
	duties, getAge, usageDelay, isOwn, onRejected, clock, logger, metrics,
}: ReportSenderOptions): ReportSender => {
	const deliveries = new Map<number, Delivery>();

	const getDelivery = (window: number): Delivery => {
		const delivery = deliveries.get(window) ?? {attempts: 0, nextAt: Number.NEGATIVE_INFINITY, isDone: false};
		deliveries.set(window, delivery);
		return delivery;
	};

	const recordAccepted = ({window, counts}: UsageReport, delivery: Delivery): void => {
		const age = getAge(window);
		const isLate = age > usageDelay;
		const isRepeated = delivery.attempts > 1 || !isOwn(window);
		delivery.isDone = true;
		metrics.count('usage_reports_total', {outcome: isLate ? 'late' : 'in-time'});
		if (isRepeated) {
			metrics.count('usage_reports_repeated_total');
		}

		metrics.record('usage_report_age', age);
		logger.info('usage-reported', {
			window, age: Math.round(age), isLate, isRepeated, attempts: delivery.attempts, customers: Object.keys(counts).length,
		});
	};

	const recordFailure = ({window}: UsageReport, delivery: Delivery, outcome: Exclude<DutyOutcome, {kind: 'accepted'}>): void => {
		delivery.nextAt = clock.monotonic() + Math.min(longestPause, firstPause * (2 ** (delivery.attempts - 1)));
		logger.warn('usage-not-accepted', {
			window, age: Math.round(getAge(window)), outcome: outcome.kind, reason: 'reason' in outcome ? outcome.reason : undefined, attempts: delivery.attempts,
		});
	};

	/** Sends one report; returns whether the next may be sent. */
	const sendReport = async (report: UsageReport): Promise<boolean> => {
		const delivery = getDelivery(report.window);
		if (delivery.isDone) {
			return true;
		}

		if (delivery.nextAt > clock.monotonic()) {
			return false;
		}

		const outcome = await duties.reportUsage(report);
		switch (outcome.kind) {
			case 'not-held': {
				return false;
			}

			case 'accepted': {
				delivery.attempts += 1;
				recordAccepted(report, delivery);
				return true;
			}

			case 'exhausted':
			case 'rejected': {
				delivery.attempts += 1;
				delivery.isDone = true;
				recordFailure(report, delivery, outcome);
				onRejected(report.window);
				return true;
			}

			case 'unavailable':
			case 'unknown': {
				delivery.attempts += 1;
				recordFailure(report, delivery, outcome);
				return false;
			}
		}
	};

	return {
		async send(reports) {
			for (const report of reports) {
				// eslint-disable-next-line no-await-in-loop -- One report at a time, as the service accepts few calls.
				if (!await sendReport(report)) {
					return;
				}
			}
		},
		isDone: window => deliveries.get(window)?.isDone ?? false,
		dropBefore(first) {
			for (const window of deliveries.keys()) {
				if (window < first) {
					deliveries.delete(window);
				}
			}
		},
	};
};
