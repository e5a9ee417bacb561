import {Buffer} from 'node:buffer';
import process from 'node:process';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createByteCollector} from './byte-collector.js';

test('chunks come back as their bytes in order, whatever their sizes and number', () => {
	fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 3}), {maxLength: 2000}), chunks => {
		const collector = createByteCollector();
		for (const chunk of chunks) {
			collector.push(chunk);
		}

		const whole = Buffer.concat(chunks);
		expect(collector.getLength()).toBe(whole.length);
		expect(Buffer.compare(collector.take(), whole)).toBe(0);
		expect(collector.getLength()).toBe(0);
		expect(collector.take()).toHaveLength(0);
	}), {seed: 1, numRuns: 50});
});

// Guards against: each chunk of a byte takes the memory of an object, so that some megabytes of them take hundreds.
test('a million chunks of a byte take little more memory than a million bytes', () => {
	const size = 1_000_000;
	const collector = createByteCollector();
	const before = process.memoryUsage();
	for (let pushed = 0; pushed < size; pushed++) {
		collector.push(Buffer.alloc(1));
	}

	globalThis.gc?.();
	const after = process.memoryUsage();
	expect(collector.getLength()).toBe(size);
	expect(after.arrayBuffers - before.arrayBuffers).toBeLessThan(32 * size);
});
