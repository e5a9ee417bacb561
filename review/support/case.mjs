/** Frame of a case: a folder and addresses of its own, the record, and the end of all that it has started. */
import {
	mkdtempSync, rmSync, writeFileSync, existsSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {randomInt} from 'node:crypto';
import {root} from './host.mjs';

/** Exit codes of a case. */
export const verdict = {held: 0, broken: 1, couldNotRun: 2};

/** Whether the disruption is made. */
export const hasTrouble = process.env.TROUBLE !== '0';

export const sleep = async duration => new Promise(resolve => {
	setTimeout(resolve, duration);
});

/** Creates the record, with times in seconds since its creation. */
const createRecord = () => {
	const startedAt = performance.now();
	const rows = [];
	return {
		rows,
		now: () => performance.now() - startedAt,
		add(kind, details = {}) {
			rows.push({at: performance.now() - startedAt, kind, ...details});
		},
		find: kind => rows.filter(row => row.kind === kind),
		getText: () => rows.map(({at, kind, ...details}) => {
			const fields = Object.entries(details).filter(([, value]) => value !== undefined);
			return `${(at / 1000).toFixed(3)} ${kind} ${fields.map(([name, value]) => `${name}=${value}`).join(' ')}`;
		}).join('\n'),
	};
};

/** Runs a case: `play` gets what it needs and returns whether the rule was broken, with a line that says what was seen. */
export const runCase = async (caseFolder, play) => {
	const record = createRecord();
	const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	const net = `127.${randomInt(10, 250)}.${randomInt(1, 250)}`;
	const cleanUps = [];
	let code = verdict.couldNotRun;
	const limit = setTimeout(() => {
		record.add('time-limit');
		finish(verdict.couldNotRun).catch(console.error);
	}, 115_000);

	const finish = async result => {
		clearTimeout(limit);
		for (const cleanUp of cleanUps.toReversed()) {
			try {
				// eslint-disable-next-line no-await-in-loop
				await cleanUp();
			} catch (error) {
				record.add('clean-up-failed', {reason: error.message});
			}
		}

		writeFileSync(path.join(caseFolder, 'record.txt'), `${record.getText()}\n`);
		if (process.env.KEEP === undefined) {
			rmSync(folder, {recursive: true, force: true});
		} else {
			console.log(`kept: ${folder}`);
		}

		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(result);
	};

	const abort = reason => {
		record.add('could-not-run', {reason});
		finish(verdict.couldNotRun).catch(console.error);
	};

	process.on('uncaughtException', error => abort(error.stack));
	for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
		process.on(signal, () => abort(signal));
	}

	if (!existsSync(path.join(root, 'target', 'gentianlift.mjs'))) {
		record.add('could-not-run', {reason: 'no program; run the build of the deploy file'});
		await finish(code);
	}

	try {
		const {isBroken, summary} = await play({
			record, folder, getIp: number => `${net}.${number}`, onEnd: cleanUp => cleanUps.push(cleanUp),
		});
		record.add('verdict', {broken: isBroken, trouble: hasTrouble, summary});
		console.log(`${isBroken ? 'BROKEN' : 'held'}: ${summary}`);
		code = isBroken ? verdict.broken : verdict.held;
	} catch (error) {
		record.add('could-not-run', {reason: error.stack});
		console.log(`could not run: ${error.message}`);
	}

	await finish(code);
};

/** Waits until all hosts are ready; throws after a time. */
export const waitUntilReady = async hosts => {
	for (let tries = 0; tries < 100; tries++) {
		// eslint-disable-next-line no-await-in-loop
		const ready = await Promise.all(hosts.map(async host => host.isReady()));
		if (ready.every(Boolean)) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(100);
	}

	throw new Error('the hosts are not ready');
};

/** Calls a function, which starts requests, at an interval until it is stopped; returns the results so far, and a function that stops it. */
export const startLoad = (interval, start, onEnd) => {
	const results = [];
	const timer = setInterval(() => {
		for (const pending of start()) {
			pending.then(result => results.push(result)).catch(console.error);
		}
	}, interval);
	const stop = () => clearInterval(timer);
	onEnd(stop);
	return {results, stop};
};
