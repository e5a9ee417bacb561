import {createWriteStream, mkdtempSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Writable} from 'node:stream';
import {expect, onTestFinished, test} from 'vitest';
import {createBufferedOutput} from './buffered-output.js';

const openLogFile = (): {path: string; stream: Writable} => {
	const path = join(mkdtempSync(join(tmpdir(), 'log-')), 'out');
	const stream = createWriteStream(path);
	onTestFinished(() => {
		stream.destroy();
	});
	return {path, stream};
};

test('writes buffered lines in order', async () => {
	const {path, stream} = openLogFile();
	const output = createBufferedOutput({stream, now: () => 0});
	output.write('a\n');
	output.write('b\n');
	await expect.poll(() => readFileSync(path, 'utf8')).toBe('a\nb\n');
});

test('drops lines beyond the buffer capacity and logs how many were dropped', async () => {
	const {path, stream} = openLogFile();
	const output = createBufferedOutput({stream, now: () => 0});
	const line = `${'x'.repeat(400 * 1024)}\n`;
	output.write(line);
	output.write(line);
	output.write(line);
	await output.flush();
	const text = readFileSync(path, 'utf8');
	expect(text.length).toBeLessThan(500 * 1024);
	expect(text).toContain('event=log-lines-dropped count=2');
});

// Guards against: an error of the output, whose reader is gone, is thrown at the exit and prevents it.
test('lines for a reader that is gone are discarded', async () => {
	const stream = new Writable({
		write(_chunk, _encoding, callback) {
			callback(new Error('broken pipe'));
		},
	});
	const output = createBufferedOutput({stream, now: () => 0});
	output.write('a\n');
	await output.flush();
	output.write('b\n');
	await output.flush();
	expect(stream.errored?.message).toBe('broken pipe');
});

// Guards against: a pipe that nobody reads takes lines without a bound.
test('an unread output gets one write at a time, of at most the capacity', async () => {
	const sizes: number[] = [];
	const stream = new Writable({
		write(chunk: Uint8Array) {
			sizes.push(chunk.length);
		},
	});
	const output = createBufferedOutput({stream, now: () => 0});
	for (let count = 0; count < 100; count += 1) {
		output.write(`${'x'.repeat(100 * 1024)}\n`);
		void output.flush();
	}

	await expect.poll(() => sizes).toHaveLength(1);
	expect(sizes[0]).toBeLessThan(600 * 1024);
});
