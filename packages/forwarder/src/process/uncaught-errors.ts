import process from 'node:process';
import type {Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';

/** Logs and counts errors that nothing has caught, from now on; the process goes on, as an error of one request must not end all others. */
export const handleUncaughtErrors = (logger: Logger, metrics: Metrics): void => {
	metrics.count('uncaught_errors_total', {}, 0);
	process.on('uncaughtException', (error: unknown, origin) => {
		metrics.count('uncaught_errors_total');
		logger.error('uncaught', {origin, reason: error instanceof Error ? error.stack ?? error.message : String(error)});
	});
};
