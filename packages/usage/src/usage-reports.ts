import type {Clock} from '@gentianlift/clock';
import type {HostMessages} from '@gentianlift/discovery';
import type {Duties, DutySettings} from '@gentianlift/duties';
import type {Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';
import type {HostId, Milliseconds} from '@gentianlift/types';
import {createCountExchange} from './count-exchange.js';
import type {CountSource} from './count-message.js';
import {createDecidedReports} from './decided-reports.js';
import {createFleetCounts} from './fleet-counts.js';
import {getWindow} from './plan-reports.js';
import {createReportHolder} from './report-holder.js';
import type {ReportLedgerOptions} from './report-ledger.js';
import {createTrueTime} from './true-time.js';
import type {UsageCounter} from './usage-counter.js';

/** Counts the requests of this host, and takes part in reporting those of the fleet. */
export type UsageReports = UsageCounter & {
	/** Records that a host's system time was `builtAt` when it sent what has just arrived; undefined if it didn't say. */
	observeClock: (host: HostId, builtAt: Milliseconds | undefined) => void;
	/** Sends the latest counts and ends, as this host does. */
	stop: () => void;
};

/** Options of the reports. */
export type UsageReportsOptions = Omit<ReportLedgerOptions, 'logger'> & {
	self: CountSource;
	duties: Duties;
	settings: Pick<DutySettings, 'usageWindow' | 'usageDelay'>;
	messages: HostMessages;
	/** Returns the processes of hosts that send their own counts, this one included. */
	getSources: () => CountSource[];
	clock: Clock;
	logger: Logger;
	metrics: Metrics;
	/** Called when a step has failed; the next follows all the same. */
	onFailure: (error: unknown) => void;
};

/** Interval at which counts are sent and the time is corrected. */
const sendInterval: Milliseconds = 1000;
/** Interval at which the holder of the duty looks for reports to fix or to send. */
const stepInterval: Milliseconds = 250;
/** Longest time for which the counts of a window are kept that isn't decided, in multiples of the time within which its report is due. */
const keptDelays = 6;

/** Starts to count and to take part in the reports, until stopped. */
export const createUsageReports = ({
	self, duties, settings, messages, getSources, clock, logger, metrics, onFailure, ...ledgerOptions
}: UsageReportsOptions): UsageReports => {
	const trueTime = createTrueTime(clock);
	const counts = createFleetCounts();
	const exchange = createCountExchange({
		self, messages, counts, getCandidates: () => duties.getCandidates({duty: 'usage'}), getSources, now: trueTime.now,
	});
	const decided = createDecidedReports(ledgerOptions.getEntry);
	const holder = createReportHolder({
		...ledgerOptions, duties, settings, counts, decided, trueTime, clock, logger, metrics,
	});
	let isStepping = false;

	const step = async (): Promise<void> => {
		if (isStepping) {
			return;
		}

		isStepping = true;
		try {
			await holder.step();
		} catch (error) {
			onFailure(error);
		} finally {
			isStepping = false;
		}
	};

	const sendCounts = (): void => {
		trueTime.adjust();
		metrics.setGauge('system_time_deviation', Math.round(trueTime.getDeviation()));
		decided.update();
		const oldest = getWindow(trueTime.now() - (settings.usageDelay * keptDelays), settings.usageWindow);
		const first = Math.max(oldest, decided.getLast() + 1);
		exchange.dropBefore(first);
		counts.dropBefore(first);
		exchange.send();
	};

	const {every} = clock;
	const cancelSending = every(sendInterval, () => {
		try {
			sendCounts();
		} catch (error) {
			onFailure(error);
		}
	});
	const cancelSteps = every(stepInterval, () => {
		void step();
	});
	return {
		recordStart(customer, age = 0) {
			exchange.add(getWindow(trueTime.now() - age, settings.usageWindow), customer);
		},
		observeClock(host, builtAt) {
			if (builtAt !== undefined) {
				trueTime.observe(host, builtAt);
			}
		},
		stop() {
			cancelSending();
			cancelSteps();
			exchange.send();
		},
	};
};
