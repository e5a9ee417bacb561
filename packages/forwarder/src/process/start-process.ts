import process from 'node:process';
import type {Metrics} from '@gentianlift/metrics';
import {exitProcess, exitStatus, type ProcessEndOptions} from './stop-process.js';

/** Options of a process's start. */
export type ProcessStartOptions = Pick<ProcessEndOptions, 'clock' | 'logger' | 'output' | 'stop' | 'countPendingAnswers' | 'closeListener' | 'getGracePeriod' | 'exit'> & {
	metrics: Metrics;
	/** Opens the host; resolves when it listens on all addresses that it needs, or stops. */
	open: () => Promise<void>;
};

const millisecondsPerSecond = 1000;

/** Opens the host; if that fails, logs why and ends the process as a stop does, since some listeners may have taken requests already. */
export const startProcess = async (options: ProcessStartOptions): Promise<void> => {
	const {
		clock, logger, metrics, open, stop,
	} = options;
	try {
		await open();
		const startDuration = Math.round(process.uptime() * millisecondsPerSecond);
		metrics.setGauge('start_duration', startDuration);
		logger.info('opened', {pid: process.pid, startDuration});
	} catch (error) {
		logger.error('start-failed', {reason: (error as Error).message});
		const failedAt = clock.monotonic();
		await stop();
		await exitProcess(exitStatus.failed, failedAt, options);
	}
};
