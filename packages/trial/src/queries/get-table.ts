import type {Report} from './get-report.js';

/** Gets text columns from rows of cells; the first column is aligned to the left. */
export const getTable = (rows: string[][]): string => {
	const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)));
	const getCell = (cell: string, column: number): string =>
		column === 0 ? cell.padEnd(widths[column] ?? 0) : cell.padStart(widths[column] ?? 0);
	return rows.map(row => row.map((cell, column) => getCell(cell, column)).join('  ')).join('\n');
};

const getPercent = (share: number): string => `${(share * 100).toFixed(1)}%`;

const getCounts = (counts: Record<string, number>): string => Object.entries(counts)
	.toSorted(([, left], [, right]) => right - left)
	.map(([kind, count]) => `  ${kind}: ${count}`)
	.join('\n');

/** Gets the report as text. */
export const getReportText = (report: Report): string => {
	const head = ['class', 'sent', 'complete', 'attainment', 'goodput/s', 'first p50 ms', 'first p99 ms', 'wasted', 'failed', 'retries', 'wrong'];
	const rows = report.classes.map(entry => [
		entry.className,
		String(entry.sent),
		String(entry.complete),
		getPercent(entry.attainment),
		entry.goodput.toFixed(2),
		entry.firstP50.toFixed(0),
		entry.firstP99.toFixed(0),
		getPercent(entry.wastedShare),
		String(entry.refused),
		String(entry.retries),
		String(entry.wrong),
	]);
	const errors = Object.keys(report.errors).length === 0 ? '  none' : getCounts(report.errors);
	return `${getTable([head, ...rows])}\n\nFailed attempts by reason:\n${errors}\nDoubled bookings: ${report.doubled}\n`;
};
