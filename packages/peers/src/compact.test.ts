import fc from 'fast-check';
import {expect, test} from 'vitest';
import {compactCodec, numberedNames} from './compact.js';

const {serialize, deserialize} = compactCodec;

/** Passes a value on as the wire does. */
const carry = (value: unknown): unknown => {
	const text = JSON.stringify(value);
	return JSON.parse(text) as unknown;
};

test('what is sent comes back the same', () => {
	const name = fc.oneof(fc.constantFrom(...numberedNames), fc.string(), fc.string().map(text => `~${text}`));
	fc.assert(fc.property(fc.jsonValue(), fc.dictionary(name, fc.jsonValue()), (value, fields) => {
		const message = {value, ...fields};
		expect(deserialize(carry(serialize(message)))).toEqual(carry(message));
	}), {seed: 1});
});

test('known names are sent as numbers, and unknown numbers are refused', () => {
	expect(serialize({host: 'a', other: [{rank: 1}]})).toEqual({'~0': 'a', other: [{'~c': 1}]});
	expect(() => deserialize({'~zz': 1})).toThrow(TypeError);
});
