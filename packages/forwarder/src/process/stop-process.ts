import process from 'node:process';
import type {Clock} from '@gentianlift/clock';
import type {BufferedOutput, Logger} from '@gentianlift/logger';
import type {Milliseconds} from '@gentianlift/types';
import type {SignalHandler} from './hold-signal.js';

/** Exit statuses of a host's process. */
export const exitStatus = {
	/** It was told to stop. */
	stopped: 0,
	/** It could not start, or an error ended its shutdown early. */
	failed: 1,
} as const;

/** One of the exit statuses. */
export type ExitStatus = typeof exitStatus[keyof typeof exitStatus];

/** Options of a process's end. */
export type ProcessEndOptions = {
	clock: Clock;
	logger: Logger;
	output: BufferedOutput;
	/** Returns the time from the signal to stop until the process must have ended; a reload may shorten it. */
	getGracePeriod: () => Milliseconds;
	/** Shuts the host down gracefully; from when it resolves on, requests are only refused. */
	stop: () => Promise<void>;
	/** Returns the number of answers that are still to be written, or may be on their way to their callers. */
	countPendingAnswers: () => number;
	/** Refuses new connections, on which requests would be reset by the end of the process. */
	closeListener: () => void;
	/** Logs the calls that are open, as the process is about to end over them. */
	reportOpenCalls: () => void;
	/** Ends the process with a status. */
	exit?: (status: ExitStatus) => void;
	/** Ends the process even if a thread is blocked, for which `exit` would wait. */
	kill?: () => void;
};

/** Longest wait at the exit for the last log lines to be read. */
const outputWait: Milliseconds = 50;
/** Part of the grace period before its end in which a process exits although answers are still to be written. */
const exitMargin: Milliseconds = 100;
/** Part of the grace period before its end in which a process that hasn't exited kills itself. */
const killMargin: Milliseconds = 25;
/** Time that a process has, before it kills itself, to answer what is open if its grace period is shortened to one that is almost over. */
const shortenedEndTime: Milliseconds = 250;
/** Time that a process which was suspended over the end of its grace period has for what has waited: it answers the requests that are open, and refuses those that have arrived. */
const lastTurn: Milliseconds = 20;
/** Interval at which it is checked whether the grace period is almost over, and whether answers are still to be written at the exit. */
const checkInterval: Milliseconds = 10;

/** What the exit of a process needs. */
export type ProcessExitOptions = Pick<ProcessEndOptions, 'clock' | 'output' | 'countPendingAnswers' | 'closeListener' | 'getGracePeriod' | 'exit'>;

/**
 * Writes the last log lines, unless nobody reads them, and ends the process once all answers are written, or at the end of
 * the grace period that began at `since`. Nothing is awaited between the last look at the answers and the exit.
 */
export const exitProcess = async (status: ExitStatus, since: Milliseconds, {
	clock, output, countPendingAnswers, closeListener, getGracePeriod, exit = process.exit,
}: ProcessExitOptions): Promise<void> => {
	const writeLog = async (): Promise<void> => Promise.race([output.flush(), clock.sleep(outputWait)]);
	closeListener();
	await writeLog();
	while (countPendingAnswers() > 0 && clock.monotonic() - since < getGracePeriod() - exitMargin) {
		// eslint-disable-next-line no-await-in-loop -- Polls the number of answers.
		await clock.sleep(checkInterval);
		// eslint-disable-next-line no-await-in-loop -- The answers have lines of their own.
		await writeLog();
	}

	exit(status);
};

const killProcess = (): void => {
	process.kill(process.pid, 'SIGKILL');
};

/**
 * Returns the handler of the signals to stop, which shuts the host down and ends the process within the grace period,
 * whatever fails or hangs meanwhile. Further signals are only logged.
 */
export const createStopHandler = (options: ProcessEndOptions): SignalHandler => {
	const {
		clock, logger, output, getGracePeriod, stop: stopHost, reportOpenCalls, kill = killProcess,
	} = options;
	const {every} = clock;
	let stoppedAt: Milliseconds | undefined;

	const shutDown = async (): Promise<ExitStatus> => {
		try {
			await stopHost();
			return exitStatus.stopped;
		} catch (error) {
			logger.error('stop-failed', {reason: (error as Error).stack ?? String(error)});
			return exitStatus.failed;
		}
	};

	const stop = async (since: Milliseconds): Promise<void> => {
		const status = await shutDown();
		logger.info('exiting', {status, after: Math.round(clock.monotonic() - since)});
		await exitProcess(status, since, options);
	};

	/** Writes what a kill would leave without a line, and kills the process at a time, or once it has handled what has waited while it was suspended. */
	const endOverdue = async (since: Milliseconds, killAt: Milliseconds): Promise<void> => {
		logger.error('stop-overdue', {after: Math.round(clock.monotonic() - since)});
		reportOpenCalls();
		void output.flush();
		await clock.sleep(Math.max(lastTurn, killAt - clock.monotonic()));
		kill();
	};

	const killWhenOverdue = (since: Milliseconds): void => {
		let gracePeriod = getGracePeriod();
		let earliestKill = since;
		const cancel = every(checkInterval, () => {
			const now = clock.monotonic();
			if (getGracePeriod() !== gracePeriod) {
				gracePeriod = getGracePeriod();
				earliestKill = now + shortenedEndTime;
			}

			const killAt = Math.max(since + gracePeriod - killMargin, earliestKill);
			if (now >= killAt - outputWait) {
				cancel();
				void endOverdue(since, killAt);
			}
		});
	};

	return signal => {
		logger.info('signal', {signal, isRepeated: stoppedAt !== undefined});
		if (stoppedAt === undefined) {
			stoppedAt = clock.monotonic();
			killWhenOverdue(stoppedAt);
			void stop(stoppedAt);
		}
	};
};
