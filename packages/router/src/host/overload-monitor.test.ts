import fc from 'fast-check';
import {expect, test} from 'vitest';
import {getRankLimitAt} from './overload-monitor.js';

test('an idle host admits all tiers', () => {
	expect(getRankLimitAt(0, 0.5, 4)).toBeUndefined();
});

test('lag sheds the lowest tiers first and never the highest', () => {
	expect(getRankLimitAt(150, 0, 4)).toBe(2);
	expect(getRankLimitAt(250, 0, 4)).toBe(1);
	expect(getRankLimitAt(5000, 1, 4)).toBe(0);
});

test('more lag never admits more tiers', () => {
	fc.assert(fc.property(fc.nat(2000), fc.nat(2000), fc.integer({min: 1, max: 8}), (lag, more, tiers) => {
		const before = getRankLimitAt(lag, 0, tiers) ?? tiers;
		const after = getRankLimitAt(lag + more, 0, tiers) ?? tiers;
		expect(after).toBeLessThanOrEqual(before);
	}), {seed: 1});
});
