export {parseRecord as parseReportRecord, reportRecordKey} from './report-record.js';
export * from './usage-reports.js';
export type * from './usage-counter.js';
