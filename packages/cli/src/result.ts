import {formatDiagnostic, type Diagnostic} from '@gentianlift/config';
import {exitCodes, type ExitCode} from './exit-codes.js';

/** Outcome of a command, as text for people and as data for `--json`. */
export type Result = {exitCode: ExitCode; lines: string[]; data: unknown};

/** Creates the result of a command that was carried out. */
export const createOk = (lines: string[], data: unknown): Result => ({exitCode: exitCodes.ok, lines, data});

/** Creates the result of a command that wasn't carried out. */
export const createFailed = (exitCode: ExitCode, message: string, data: Record<string, unknown> = {}): Result =>
	({exitCode, lines: [message], data: {error: message, ...data}});

/** Creates the result for a document with faults. */
export const createFaulty = (file: string, faults: Diagnostic[]): Result => ({
	exitCode: exitCodes.failed,
	lines: [`${file} has ${faults.length} ${faults.length === 1 ? 'fault' : 'faults'}:`, ...faults.map(fault => `  ${formatDiagnostic(fault)}`)],
	data: {faults},
});
