import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {expect, onTestFinished, test} from 'vitest';

/** Writes a program into a directory of its own and returns its path. */
const writeProgram = (text: string): string => {
	const program = path.join(mkdtempSync(path.join(tmpdir(), 'gentianlift-host-process-')), 'program.mjs');
	writeFileSync(program, text);
	return program;
};

// Guards against: hosts that go on for ever after the soak has been ended by a signal, SIGKILL included.
test('a host ends when the process that started it is killed', async () => {
	const program = writeProgram('process.on("SIGTERM", () => {}); setInterval(() => {}, 1000); console.log(process.pid);');
	const linked = ['scripts/run-linked-host.js', '127.0.0', '1', '0', '1', program];
	const parent = spawn(process.execPath, ['--eval', `require("node:child_process").spawn(process.execPath, ${JSON.stringify(linked)}, {stdio: "inherit"})`], {stdio: ['ignore', 'pipe', 'inherit']});
	const [output] = await once(parent.stdout, 'data') as [Uint8Array];
	const state = {hasEnded: false};
	parent.stdout.once('close', () => {
		state.hasEnded = true;
	});
	onTestFinished(() => {
		if (!state.hasEnded) {
			process.kill(Number(String(output)), 'SIGKILL');
		}
	});
	parent.kill('SIGKILL');
	// The pipe closes when the last process that could write to it has ended.
	await expect.poll(() => state.hasEnded, {timeout: 4000}).toBe(true);
});
