import {isSettingsFailure} from '@gentianlift/errors';
import type {LogFields} from '@gentianlift/logger';

/** Returns the log fields of an error for which a host can't begin, or go on with new settings: of settings that can't be used, their file and what is wrong with it. */
export const describeStartError = (error: unknown, settingsPath: string | undefined): LogFields => {
	if (isSettingsFailure(error)) {
		const {kind, ...details} = error.fault;
		return {settings: settingsPath, fault: kind, ...details};
	}

	return {settings: settingsPath, reason: error instanceof Error ? error.stack ?? error.message : String(error)};
};
