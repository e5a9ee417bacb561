const columnGap = '  ';

const formatCell = (value: unknown): string => {
	if (typeof value === 'boolean') {
		return value ? 'yes' : 'no';
	}

	if (value === undefined || value === null) {
		return '-';
	}

	return typeof value === 'string' ? value : JSON.stringify(value);
};

/** Formats records as a table with a column for each field in `columns`; the lines have no trailing spaces. */
export const formatTable = <Row extends Record<string, unknown>>(rows: readonly Row[], columns: ReadonlyArray<keyof Row & string>): string[] => {
	const cells = [columns.map(column => column.toUpperCase()), ...rows.map(row => columns.map(column => formatCell(row[column])))];
	const widths = columns.map((_, index) => Math.max(...cells.map(row => row[index]?.length ?? 0)));
	return cells.map(line => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join(columnGap).trimEnd());
};
