import {
	closeSync, mkdtempSync, openSync, readFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect, onTestFinished, test} from 'vitest';
import {createBufferedOutput} from './buffered-output.js';

const openLogFile = (): {path: string; file: number} => {
	const path = join(mkdtempSync(join(tmpdir(), 'log-')), 'out');
	const file = openSync(path, 'w');
	onTestFinished(() => {
		closeSync(file);
	});
	return {path, file};
};

test('writes buffered lines in order', async () => {
	const {path, file} = openLogFile();
	const output = createBufferedOutput({fileDescriptor: file, now: () => 0});
	output.write('a\n');
	output.write('b\n');
	await expect.poll(() => readFileSync(path, 'utf8')).toBe('a\nb\n');
});

test('drops lines beyond the buffer capacity and logs how many were dropped', () => {
	const {path, file} = openLogFile();
	const output = createBufferedOutput({fileDescriptor: file, now: () => 0});
	const line = `${'x'.repeat(400 * 1024)}\n`;
	output.write(line);
	output.write(line);
	output.write(line);
	output.flush();
	const text = readFileSync(path, 'utf8');
	expect(text.length).toBeLessThan(500 * 1024);
	expect(text).toContain('event=log-lines-dropped count=2');
});
