import type {Milliseconds} from '@gentianlift/types';
import type {RestStatement} from '../protocol.js';

const millisecondsPerSecond = 1000;
/** Longest rest; an upstream that wants a longer one is asked again then. */
const maxRest: Milliseconds = 5 * 60 * millisecondsPerSecond;
const maxLoggedLength = 40;
/** A decimal number of seconds; HTTP has whole ones, and upstreams send fractions, too. */
const secondsPattern = /^(?:\d{1,12}(?:\.\d{0,12})?|\.\d{1,12})$/v;
/** A date in the format that HTTP prefers, such as `Sun, 06 Nov 1994 08:49:37 GMT`. */
const datePattern = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/v;

/** Returns the time that a text asks for, which may be negative for a date; undefined if it is malformed. */
const parseDuration = (text: string, now: Milliseconds): Milliseconds | undefined => {
	if (secondsPattern.test(text)) {
		return Number(text) * millisecondsPerSecond;
	}

	const date = datePattern.test(text) ? Date.parse(text) : Number.NaN;
	return Number.isNaN(date) ? undefined : date - now;
};

/** Reads for how long an upstream wants rest, from the values of all headers that say so; `now` is the wall-clock time. */
export const parseRest = (values: readonly string[], now: Milliseconds): RestStatement => {
	const [value] = values.map(text => text.trim());
	if (value === undefined) {
		return {kind: 'none'};
	}

	const duration = values.length === 1 ? parseDuration(value, now) : undefined;
	return duration === undefined
		? {kind: 'malformed', text: values.join(', ').slice(0, maxLoggedLength)}
		: {kind: 'rest', duration: Math.round(Math.min(maxRest, Math.max(0, duration)))};
};
