import {expect, test} from 'vitest';
import {parseRest} from './parse-rest.js';

const now = Date.parse('2026-12-04T12:00:00Z');

test('a rest is a number of seconds or a date', () => {
	const cases = [['3', 3000], [' 1.5 ', 1500], ['0', 0], ['.25', 250], ['Fri, 04 Dec 2026 12:00:02 GMT', 2000]] as const;
	for (const [text, duration] of cases) {
		expect(parseRest([text], now), text).toEqual({kind: 'rest', duration});
	}

	expect(parseRest([], now)).toEqual({kind: 'none'});
});

// Guards against: one odd value keeps an engine without requests for years.
test('a rest is bounded, and one that is over is none', () => {
	for (const text of ['999999999999', '301', 'Fri, 04 Dec 2076 12:00:02 GMT']) {
		expect(parseRest([text], now), text).toEqual({kind: 'rest', duration: 300_000});
	}

	expect(parseRest(['Fri, 04 Dec 1976 12:00:02 GMT'], now)).toEqual({kind: 'rest', duration: 0});
});

test('anything else is a mistake, which says nothing', () => {
	for (const text of ['', '-1', '1e400', '1e1', 'NaN', 'Infinity', 'soon', '1,5', '0x10', '.', '1 2', '9'.repeat(40), 'Fri, 99 Foo 2026 12:00:02 GMT', '2026-12-04']) {
		expect(parseRest([text], now).kind, text).toBe('malformed');
	}

	expect(parseRest(['1', '2'], now).kind).toBe('malformed');
});
