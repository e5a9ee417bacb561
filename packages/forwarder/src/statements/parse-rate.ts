import type {RateStatement} from '../protocol.js';

/** A decimal number; one of more than a dozen digits is a mistake. */
const ratePattern = /^(?:\d{1,12}(?:\.\d{0,12})?|\.\d{1,12})$/v;
const maxLoggedLength = 40;

/** Reads a number a second, such as the requests that an upstream names as its limit, from the values of all headers that name it. */
export const parseRate = (values: readonly string[]): RateStatement => {
	const [value] = values.map(text => text.trim());
	if (value === undefined) {
		return {kind: 'none'};
	}

	const isValid = values.length === 1 && ratePattern.test(value);
	return isValid ? {kind: 'rate', perSecond: Number(value)} : {kind: 'malformed', text: values.join(', ').slice(0, maxLoggedLength)};
};
