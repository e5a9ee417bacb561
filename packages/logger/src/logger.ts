import process from 'node:process';
import {pino, type Logger as PinoLogger} from 'pino';
import {formatLine} from './format-line.js';

/** Fields of a log line besides its time, level and event. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Log levels in ascending severity. */
export const logLevels = ['trace', 'debug', 'info', 'warn', 'error'] as const;
/** Severity of a log line. */
export type LogLevel = typeof logLevels[number];

/** Structured logger: each call writes one line with the event's name and fields, unless its level is disabled. */
export type Logger = Record<LogLevel, (event: string, fields?: LogFields) => void> & {
	/** Sets the lowest severity that is written. */
	setLevel: (level: LogLevel) => void;
	getLevel: () => LogLevel;
};

const createLevelWriter = (target: PinoLogger, level: LogLevel) => (event: string, fields: LogFields = {}): void => {
	target[level]({...fields, event});
};

/** Creates a logger that passes `key=value` lines to `write`, by default to standard error. */
export const createLogger = (level: LogLevel = 'info', write: (line: string) => void = writeStandardError): Logger => {
	const pinoLogger = pino({
		level,
		base: undefined,
		formatters: {level: label => ({level: label})},
	}, {
		write(record: string) {
			write(formatLine(JSON.parse(record) as Record<string, unknown>));
		},
	});
	return {
		trace: createLevelWriter(pinoLogger, 'trace'),
		debug: createLevelWriter(pinoLogger, 'debug'),
		info: createLevelWriter(pinoLogger, 'info'),
		warn: createLevelWriter(pinoLogger, 'warn'),
		error: createLevelWriter(pinoLogger, 'error'),
		setLevel(next) {
			pinoLogger.level = next;
		},
		getLevel: () => pinoLogger.level as LogLevel,
	};
};

/** Creates a logger that discards all lines. */
export const createSilentLogger = (): Logger => createLogger('error', () => undefined);

function writeStandardError(line: string): void {
	process.stderr.write(line);
}
