import type {Report} from './get-report.js';

/** Formats rows of cells as text columns; the first column is left-aligned, the others right-aligned. */
export const formatTable = (rows: string[][]): string => {
	const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)));
	const formatCell = (cell: string, column: number): string =>
		column === 0 ? cell.padEnd(widths[column] ?? 0) : cell.padStart(widths[column] ?? 0);
	return rows.map(row => row.map((cell, column) => formatCell(cell, column)).join('  ')).join('\n');
};

const formatPercent = (fraction: number): string => `${(fraction * 100).toFixed(1)}%`;

const formatCounts = (counts: Record<string, number>): string => Object.entries(counts)
	.toSorted(([, left], [, right]) => right - left)
	.map(([kind, count]) => `  ${kind}: ${count}`)
	.join('\n');

/** Formats a report as text. */
export const formatReport = (report: Report): string => {
	const headings = ['class', 'sent', 'complete', 'attainment', 'goodput/s', 'first p50 ms', 'first p99 ms', 'wasted', 'failed', 'retries', 'wrong'];
	const rows = report.classes.map(entry => [
		entry.className,
		String(entry.sent),
		String(entry.complete),
		formatPercent(entry.attainment),
		entry.goodput.toFixed(2),
		entry.firstP50.toFixed(0),
		entry.firstP99.toFixed(0),
		formatPercent(entry.wastedFraction),
		String(entry.failed),
		String(entry.retries),
		String(entry.wrong),
	]);
	const errors = Object.keys(report.errors).length === 0 ? '  none' : formatCounts(report.errors);
	return `${formatTable([headings, ...rows])}\n\nFailed attempts by reason:\n${errors}\nDoubled bookings: ${report.duplicateBookings}\n`;
};
