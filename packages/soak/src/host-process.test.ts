import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	existsSync, mkdtempSync, readFileSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect, onTestFinished, test} from 'vitest';
import type {Milliseconds} from '@gentianlift/types';
import {createHostProcess, type HostProcess} from './host-process.js';
import {drawSchedule, type FaultSet} from './schedule.js';

/** Time in which a small program has set its handlers. */
const loadingTime: Milliseconds = 1500;
/** Time after which a program that hasn't set its handlers has failed. */
const maxLoadingTime: Milliseconds = 10_000;

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

const logFiles = new WeakMap<HostProcess, string>();

/** Creates a host process of a program that isn't started yet; its processes end with the test. */
const createProcess = (text: string, memoryLimit = Number.POSITIVE_INFINITY): HostProcess => {
	const program = writeProgram(text);
	const hostProcess = createHostProcess({
		command: {
			file: process.execPath, args: [program], env: {}, logFile: `${program}.log`,
		}, memoryLimit,
	});
	onTestFinished(hostProcess.kill);
	logFiles.set(hostProcess, `${program}.log`);
	return hostProcess;
};

/** Waits until the program of a started process has set its handlers, which it says in its output. */
const waitUntilLoaded = async (hostProcess: HostProcess): Promise<void> => {
	await expect.poll(() => readFileSync(logFiles.get(hostProcess) ?? '', 'utf8'), {timeout: maxLoadingTime}).toContain('ready');
};

const run = 'process.on("SIGHUP", () => {}); setInterval(() => {}, 1000); console.log("ready");';

// Guards against: a host that passes its memory limit for a moment, which the soak didn't see.
test('reports the peak of a running process that has had more memory than it may', async () => {
	const limit = 150_000_000;
	const small = createProcess(run, limit);
	const large = createProcess(`let held = Buffer.alloc(200_000_000, "a"); held = undefined; ${run}`, limit);
	small.start();
	large.start();
	await expect.poll(() => large.getFailures(), {timeout: 4000}).toMatchObject([{kind: 'memory', limit}]);
	expect(small.getFailures()).toEqual([]);
});

// Guards against: a stop in time whose exit status says that it failed.
test('reports a stop that ends with another status than 0', async () => {
	const sound = createProcess(`process.on("SIGTERM", () => process.exit(0)); ${run}`);
	const failing = createProcess(`process.on("SIGTERM", () => process.exit(1)); ${run}`);
	const deaf = createProcess(`process.on("SIGTERM", () => {}); ${run}`);
	const all = [sound, failing, deaf];
	for (const hostProcess of all) {
		hostProcess.start();
	}

	await Promise.all(all.map(async hostProcess => waitUntilLoaded(hostProcess)));
	await Promise.all(all.map(async hostProcess => hostProcess.stop(500)));
	expect(all.map(hostProcess => hostProcess.getFailures())).toEqual([
		[], [{kind: 'failed-exit', exit: 'code 1'}], [{kind: 'late-exit', gracePeriod: 500}],
	]);
});

// Guards against: a process that fails to start while the one before it still stops, which counted as its planned stop.
test('reports a process that exits by itself while the one before it stops', async () => {
	const folder = path.dirname(writeProgram(''));
	const marker = path.join(folder, 'started');
	const hostProcess = createProcess(`
import {existsSync, writeFileSync} from 'node:fs';
if (existsSync('${marker}')) { process.exit(3); }
writeFileSync('${marker}', '');
process.on("SIGTERM", () => setTimeout(() => process.exit(0), 1500)); ${run}`);
	hostProcess.start();
	await waitUntilLoaded(hostProcess);
	const stopped = hostProcess.stop(4000);
	hostProcess.start();
	await stopped;
	await expect.poll(() => hostProcess.getFailures(), {timeout: maxLoadingTime}).toEqual([{kind: 'unexpected-exit', exit: 'code 3'}]);
});

// Guards against: SIGHUP that is held back until a host's first output, so that none reaches a host that starts.
test('sends SIGHUP to a process as soon as it handles it, and not before', async () => {
	const file = `${writeProgram('')}.reloaded`;
	const handling = createProcess(`import {writeFileSync} from "node:fs"; process.on("SIGHUP", () => writeFileSync("${file}", "")); setInterval(() => {}, 1000);`);
	const loading = createProcess('setInterval(() => {}, 1000);');
	handling.start();
	loading.start();
	await expect.poll(() => {
		handling.reload();
		loading.reload();
		return existsSync(file);
	}, {timeout: 4000}).toBe(true);
	expect([handling, loading].flatMap(({getFailures}) => getFailures())).toEqual([]);
});

// Guards against: a host that can't end while nobody reads its output, which the soak always read.
test('closes the output of a process, or leaves it unread', async () => {
	const writing = 'import {writeSync} from "node:fs"; process.on("SIGTERM", () => process.exit(0)); setInterval(() => writeSync(1, "x".repeat(200_000)), 50);';
	const read = createProcess(writing);
	const unread = createProcess(writing);
	const closed = createProcess(writing);
	for (const hostProcess of [read, unread, closed]) {
		hostProcess.start();
	}

	await sleep(loadingTime);
	unread.setOutput('unread');
	closed.setOutput('closed');
	await sleep(1000);
	await Promise.all([read, unread].map(async hostProcess => hostProcess.stop(500)));
	expect([read, unread].map(({getFailures}) => getFailures())).toEqual([[], [{kind: 'late-exit', gracePeriod: 500}]]);
	expect(closed.getFailures()).toEqual([{kind: 'unexpected-exit', exit: 'code 1'}]);
});

// Guards against: schedules of earlier seeds that change when faults are added to other sets.
test('draws faults of processes only for their own set', () => {
	const size = {hosts: 5, upstreams: 6};
	const getKinds = (faultSet: FaultSet): Set<string> => new Set(Array.from({length: 30}, (_, seed) => drawSchedule(seed, size, 10_000, faultSet)).flat().map(({fault}) => fault.kind));
	const kinds = ['host-output', 'host-overlap', 'taken-address'];
	expect(kinds.filter(kind => getKinds('any').has(kind))).toEqual([]);
	expect(kinds.filter(kind => getKinds('processes').has(kind))).toEqual(kinds);
});
