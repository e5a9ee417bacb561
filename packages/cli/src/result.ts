import {formatDiagnostic, type Diagnostic} from '@gentianlift/config';
import {exitCodes, type ExitCode} from './exit-codes.js';

/** Result of a command: lines of text, and the data that `--json` prints instead. */
export type Result = {exitCode: ExitCode; lines: string[]; data: unknown};

/** Creates the result of a command that succeeded. */
export const createSuccess = (lines: string[], data: unknown): Result => ({exitCode: exitCodes.ok, lines, data});

/** Creates the result of a command that failed. */
export const createFailure = (exitCode: ExitCode, message: string, data: Record<string, unknown> = {}): Result =>
	({exitCode, lines: [message], data: {error: message, ...data}});

/** Creates the result for a file that isn't a valid configuration. */
export const createInvalidFileFailure = (file: string, faults: Diagnostic[]): Result => ({
	exitCode: exitCodes.failed,
	lines: [`${file} has ${faults.length} ${faults.length === 1 ? 'fault' : 'faults'}:`, ...faults.map(fault => `  ${formatDiagnostic(fault)}`)],
	data: {faults},
});
