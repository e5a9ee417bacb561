const needsQuotes = /[\s"=]/v;

const formatValue = (value: unknown): string => {
	const text = typeof value === 'string' ? value : JSON.stringify(value) ?? '';
	return text === '' || needsQuotes.test(text) ? JSON.stringify(text) : text;
};

/** Formats a record as one line of `key=value` pairs: time, level and event first. Empty values and those with whitespace, quotes or `=` are quoted as JSON strings. */
export const formatLine = (record: Record<string, unknown>): string => {
	const {time, level, event, ...rest} = record;
	const leadingPairs: Array<[string, unknown]> = [['time', new Date(Number(time)).toISOString()], ['level', level], ['event', event]];
	const pairs = [...leadingPairs, ...Object.entries(rest)].map(([key, value]) => `${key}=${formatValue(value)}`);
	return `${pairs.join(' ')}\n`;
};
