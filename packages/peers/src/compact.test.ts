import fc from 'fast-check';
import {expect, test} from 'vitest';
import {compactCodec, numberedNames} from './compact.js';

const {serialize, deserialize} = compactCodec;

/** Encodes and decodes a value as JSON, as the transport does. */
const passThroughJson = (value: unknown): unknown => {
	const text = JSON.stringify(value);
	return JSON.parse(text) as unknown;
};

test('decodes any message to what was encoded', () => {
	const name = fc.oneof(fc.constantFrom(...numberedNames), fc.string(), fc.string().map(text => `~${text}`));
	fc.assert(fc.property(fc.jsonValue(), fc.dictionary(name, fc.jsonValue()), (value, fields) => {
		const message = {value, ...fields};
		expect(deserialize(passThroughJson(serialize(message)))).toEqual(passThroughJson(message));
	}), {seed: 1});
});

test('encodes known names as numbers and rejects unknown numbers', () => {
	expect(serialize({host: 'a', other: [{rank: 1}]})).toEqual({'~0': 'a', other: [{'~c': 1}]});
	expect(() => deserialize({'~zz': 1})).toThrow(TypeError);
});
