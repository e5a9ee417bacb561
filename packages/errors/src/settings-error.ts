import {formatFound} from './format-found.js';
import {BaseError} from './request-error.js';

/** What is wrong with a settings file. */
export type SettingsFault
	/** The file can't be read; `reason` is that of the system. */
	= | {kind: 'unreadable'; reason: string}
	/** Its text is no JSON; `line` and `column` count from 1 and are absent if the place isn't known. */
		| {kind: 'invalid-json'; reason: string; line?: number; column?: number}
	/** A field has no valid value; `found` is the value as JSON, truncated, or `nothing`. */
		| {kind: 'invalid-field'; field: string; expected: string; found: string};

/** Error of settings that can't be used. */
export type SettingsFailure = Error & {fault: SettingsFault};

const SettingsError = BaseError.subclass('SettingsError');

const formatFault = (fault: SettingsFault): string => {
	switch (fault.kind) {
		case 'unreadable': {
			return fault.reason;
		}

		case 'invalid-json': {
			return fault.line === undefined ? fault.reason : `${fault.reason} (line ${fault.line}, column ${fault.column})`;
		}

		case 'invalid-field': {
			return `settings: ${fault.field} must be ${fault.expected}, not ${fault.found}`;
		}
	}
};

/** Creates the error of settings that can't be used. */
export const createSettingsFailure = (fault: SettingsFault): SettingsFailure => new SettingsError(formatFault(fault), {props: {fault}});

/** Creates the error of a field whose value isn't what is expected. */
export const createFieldFailure = (field: string, value: unknown, expected: string): SettingsFailure =>
	createSettingsFailure({
		kind: 'invalid-field', field, expected, found: formatFound(value),
	});

/** Whether a thrown value is the error of settings that can't be used. */
export const isSettingsFailure = (thrown: unknown): thrown is SettingsFailure => thrown instanceof SettingsError;
