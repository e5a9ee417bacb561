import type {LimitStatement} from './protocol.js';

/** A decimal number; one of more than a dozen digits is a mistake. */
const limitPattern = /^(?:\d{1,12}(?:\.\d{0,12})?|\.\d{1,12})$/v;
const maxLoggedLength = 40;

/** Reads the requests a second that an upstream names as its limit, from the values of all headers that do. */
export const parseRequestLimit = (values: readonly string[]): LimitStatement => {
	const [value] = values.map(text => text.trim());
	if (value === undefined) {
		return {kind: 'none'};
	}

	const isValid = values.length === 1 && limitPattern.test(value);
	return isValid ? {kind: 'limit', perSecond: Number(value)} : {kind: 'malformed', text: values.join(', ').slice(0, maxLoggedLength)};
};
