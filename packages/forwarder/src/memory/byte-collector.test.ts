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

// Guards against: small chunks that are copied and large ones that are kept change places, or the room behind the copied ones is taken for bytes.
test('small and large chunks in turn come back in order', () => {
	const sizes = fc.constantFrom(0, 1, 63, 64, 1000, 4095, 4096, 70_000);
	fc.assert(fc.property(fc.array(sizes, {maxLength: 60}), lengths => {
		const chunks = lengths.map((length, index) => Buffer.alloc(length, index + 1));
		const collector = createByteCollector();
		for (const chunk of chunks) {
			collector.push(chunk);
		}

		const bytes = collector.take();
		expect(Buffer.compare(bytes, Buffer.concat(chunks))).toBe(0);
		expect(collector.take()).toHaveLength(0);
	}), {seed: 1, numRuns: 100});
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

// Guards against: small chunks that are too few to be joined take hundreds of times their bytes, in each of thousands of unfinished bodies.
test('a few hundred chunks of a byte keep no object each', () => {
	const collectors = Array.from({length: 1450}, createByteCollector);
	globalThis.gc?.();
	const before = process.memoryUsage();
	for (const collector of collectors) {
		for (let pushed = 0; pushed < 255; pushed++) {
			collector.push(Buffer.allocUnsafeSlow(1));
		}
	}

	globalThis.gc?.();
	const after = process.memoryUsage();
	const growth = after.heapUsed + after.arrayBuffers - before.heapUsed - before.arrayBuffers;
	expect(collectors.every(collector => collector.getLength() === 255)).toBe(true);
	expect(growth).toBeLessThan(32 * 1450 * 255);
});
