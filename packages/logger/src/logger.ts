import process from 'node:process';
import {pino, type Logger as PinoLogger} from 'pino';
import {formatLine} from './format-line.js';

/** Values of a log line. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Levels of log lines, from the most to the least frequent. */
export const logLevels = ['trace', 'debug', 'info', 'warn', 'error'] as const;
/** One of `logLevels`. */
export type LogLevel = typeof logLevels[number];

/** Writes one line for each event. */
export type Logger = Record<LogLevel, (event: string, fields?: LogFields) => void> & {
	setLevel: (level: LogLevel) => void;
	getLevel: () => LogLevel;
};

const createWrite = (target: PinoLogger, level: LogLevel) => (event: string, fields: LogFields = {}): void => {
	target[level]({...fields, event});
};

/** Creates a logger that writes key=value lines through `write`, on standard error by default. */
export const createLogger = (level: LogLevel = 'info', write: (line: string) => void = writeStandardError): Logger => {
	const target = pino({
		level,
		base: undefined,
		formatters: {level: label => ({level: label})},
	}, {
		write(record: string) {
			write(formatLine(JSON.parse(record) as Record<string, unknown>));
		},
	});
	return {
		trace: createWrite(target, 'trace'),
		debug: createWrite(target, 'debug'),
		info: createWrite(target, 'info'),
		warn: createWrite(target, 'warn'),
		error: createWrite(target, 'error'),
		setLevel(next) {
			target.level = next;
		},
		getLevel: () => target.level as LogLevel,
	};
};

/** Creates a logger that writes nothing. */
export const createSilentLogger = (): Logger => createLogger('error', () => undefined);

function writeStandardError(line: string): void {
	process.stderr.write(line);
}
