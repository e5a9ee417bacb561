import type {Clock} from '@gentianlift/clock';
import type {Duties, DutySettings, UsageReport} from '@gentianlift/duties';
import type {Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';
import type {Milliseconds} from '@gentianlift/types';
import type {DecidedReports} from './decided-reports.js';
import type {FleetCounts} from './fleet-counts.js';
import {planReports, type LostWindows, type ReportPlan} from './plan-reports.js';
import {createReportLedger, type ReportLedgerOptions} from './report-ledger.js';
import type {ReportRecord} from './report-record.js';
import {createReportSender} from './report-sender.js';
import type {TrueTime} from './true-time.js';

/** Fixes and sends the reports of the fleet while this host holds the duty. */
export type ReportHolder = {
	/** Takes the next steps that are due; resolves when no call is in flight. To be called more often than windows end. */
	step: () => Promise<void>;
};

/** Dependencies of the holder. */
export type ReportHolderOptions = ReportLedgerOptions & {
	duties: Pick<Duties, 'isHeld' | 'reportUsage'>;
	settings: Pick<DutySettings, 'usageWindow' | 'usageDelay'>;
	counts: Pick<FleetCounts, 'sum' | 'getCompleteSince' | 'getCandidateSince' | 'getFirstWindow'>;
	decided: DecidedReports;
	trueTime: Pick<TrueTime, 'now' | 'getDeviation'>;
	clock: Pick<Clock, 'monotonic'>;
	metrics: Metrics;
	logger: Logger;
};

/** Time in which counts arrive, also if a message is lost: twice the interval at which they are sent. */
const arrivalTime: Milliseconds = 2000;
/** Largest part of the time within which a report is due that counts have to arrive in. */
const maxSettlingPart = 0.3;
/** Pause after a write that has failed. */
const writePause: Milliseconds = 1000;
/** Number of windows before the last decided one of which this process remembers what it has done. */
const rememberedWindows = 64;

const sumCounts = ({counts}: UsageReport): number => Object.values(counts).reduce((sum, count) => sum + count, 0);

/** Creates a holder that does nothing before `step`. */
export const createReportHolder = ({
	duties, settings, counts, decided, trueTime, clock, logger, metrics, ...ledgerOptions
}: ReportHolderOptions): ReportHolder => {
	const ledger = createReportLedger({...ledgerOptions, logger});
	/** Windows whose reports this process has fixed. */
	const own = new Set<number>();
	let nextWriteAt = Number.NEGATIVE_INFINITY;

	const getAge = (window: number): Milliseconds => trueTime.now() - ((window + 1) * settings.usageWindow);

	const reportLost = ({first, last, reason}: LostWindows): void => {
		metrics.count('usage_windows_lost_total', {reason}, last - first + 1);
		logger.error('usage-unreported', {
			first, last, reason, age: Math.round(getAge(last)), completeFor: Math.round(trueTime.now() - counts.getCompleteSince()),
		});
	};

	const sender = createReportSender({
		duties,
		getAge,
		usageDelay: settings.usageDelay,
		isOwn: window => own.has(window),
		onRejected(window) {
			reportLost({first: window, last: window, reason: 'rejected'});
		},
		clock,
		logger,
		metrics,
	});

	const recordFixed = (report: UsageReport): void => {
		own.add(report.window);
		logger.info('usage-fixed', {
			window: report.window,
			age: Math.round(getAge(report.window)),
			customers: Object.keys(report.counts).length,
			requests: sumCounts(report),
			completeFor: Math.round(trueTime.now() - counts.getCompleteSince()),
			deviation: Math.round(trueTime.getDeviation()),
		});
	};

	const dropOld = (last: number): void => {
		sender.dropBefore(last - rememberedWindows);
		for (const window of own) {
			if (window < last - rememberedWindows) {
				own.delete(window);
			}
		}
	};

	const plan = (record: ReportRecord | undefined): ReportPlan | undefined => planReports({
		record,
		now: trueTime.now(),
		windowLength: settings.usageWindow,
		settlingTime: Math.min(arrivalTime, settings.usageDelay * maxSettlingPart),
		completeSince: counts.getCompleteSince(),
		candidateSince: counts.getCandidateSince(),
		firstWindow: counts.getFirstWindow(),
		sum: counts.sum,
		isDone: sender.isDone,
		decidedThrough: decided.getLast(),
		getFixed: decided.get,
	});

	/** Fixes the reports that are due, if there are any. */
	const fixReports = async (record: ReportRecord | undefined): Promise<void> => {
		const next = clock.monotonic() < nextWriteAt ? undefined : plan(record);
		if (next === undefined) {
			return;
		}

		if (!await ledger.write(next.record)) {
			nextWriteAt = clock.monotonic() + writePause;
			return;
		}

		decided.add(next.record);
		for (const report of next.fixed) {
			recordFixed(report);
		}

		for (const windows of next.lost) {
			reportLost(windows);
		}

		dropOld(next.record.last);
	};

	return {
		async step() {
			if (!duties.isHeld({duty: 'usage'})) {
				ledger.forget();
				metrics.setGauge('usage_reports_open', 0);
				return;
			}

			decided.update();
			const before = ledger.get();
			if (before.kind === 'known') {
				await fixReports(before.record);
			}

			const known = ledger.get();
			const reports = known.kind === 'known' ? known.record?.reports ?? [] : [];
			await sender.send(reports);
			metrics.setGauge('usage_reports_open', reports.filter(({window}) => !sender.isDone(window)).length);
		},
	};
};
