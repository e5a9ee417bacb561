import type {UsageReport} from '@gentianlift/duties';
import type {Entry} from '@gentianlift/types';
import {parseRecord, reportRecordKey, type ReportRecord} from './report-record.js';

/** Reports that this process knows as fixed, also after the store has come back from an older copy that lacks them. */
export type DecidedReports = {
	/** Takes in what the change feed shows. */
	update: () => void;
	/** Takes in what stands in the store. */
	add: (record: ReportRecord) => void;
	/** Returns the last window that is decided; -1 before the first. */
	getLast: () => number;
	/** Returns the report of a window as it is fixed; undefined if that isn't known. */
	get: (window: number) => UsageReport | undefined;
};

/** Number of reports that are remembered. */
const maxReports = 24;

/** Creates a memory without reports. */
export const createDecidedReports = (getEntry: (key: string) => Entry | undefined): DecidedReports => {
	const reports = new Map<number, UsageReport>();
	let last = -1;
	let revision = 0;

	const add = (record: ReportRecord): void => {
		last = Math.max(last, record.last);
		for (const report of record.reports) {
			// The first one that was seen is the one that may have been sent.
			if (!reports.has(report.window)) {
				reports.set(report.window, report);
			}
		}

		for (const window of [...reports.keys()].slice(0, Math.max(0, reports.size - maxReports))) {
			reports.delete(window);
		}
	};

	return {
		update() {
			const entry = getEntry(reportRecordKey);
			if (entry === undefined || entry.revision === revision) {
				return;
			}

			revision = entry.revision;
			const record = parseRecord(entry.value);
			if (record !== undefined) {
				add(record);
			}
		},
		add,
		getLast: () => last,
		get: window => reports.get(window),
	};
};
