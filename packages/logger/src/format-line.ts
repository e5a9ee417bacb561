const needsQuotes = /[\s"=]/v;

const formatValue = (value: unknown): string => {
	const text = typeof value === 'string' ? value : JSON.stringify(value) ?? '';
	return text === '' || needsQuotes.test(text) ? JSON.stringify(text) : text;
};

/** Formats a record as one line of `key=value` pairs, values with spaces, quotes or `=` in JSON quotes. */
export const formatLine = (record: Record<string, unknown>): string => {
	const {time, level, event, ...rest} = record;
	const head: Array<[string, unknown]> = [['time', new Date(Number(time)).toISOString()], ['level', level], ['event', event]];
	const pairs = [...head, ...Object.entries(rest)].map(([key, value]) => `${key}=${formatValue(value)}`);
	return `${pairs.join(' ')}\n`;
};
