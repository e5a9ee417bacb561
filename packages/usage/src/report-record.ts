import type {UsageReport} from '@gentianlift/duties';
import {
	fieldBounds, isIntegerWithin, isJsonObject, parseJsonObject, type JsonObject,
} from '@gentianlift/types';
import {readCounts} from './count-message.js';

/** What stands in the store of the reports: those that are fixed and may still have to be sent, oldest first. */
export type ReportRecord = {
	/** Number of the last window that is decided: its report is fixed, or there will be none. */
	last: number;
	reports: UsageReport[];
};

/** Key of the record in the store. */
export const reportRecordKey = 'gentianlift/usage';

const isReport = ({window, counts}: JsonObject): boolean =>
	isIntegerWithin(window, fieldBounds.version) && isJsonObject(counts) && readCounts(counts).length === Object.keys(counts).length;

/** Encodes a record. */
export const encodeRecord = ({last, reports}: ReportRecord): string =>
	JSON.stringify({last, reports: reports.map(({window, counts}) => ({window, counts}))});

/** Parses a record; returns undefined if any of it is malformed, as a report is repeated exactly or not at all. */
export const parseRecord = (text: string): ReportRecord | undefined => {
	const {last, reports} = parseJsonObject(text) ?? {};
	const isRecord = isIntegerWithin(last, fieldBounds.version) && Array.isArray(reports) && reports.every(report => isJsonObject(report) && isReport(report));
	return isRecord ? {last, reports: reports as UsageReport[]} : undefined;
};
