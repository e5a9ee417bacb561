import {watchFile} from 'node:fs';
import type {Logger} from '@gentianlift/logger';
import type {Milliseconds} from '@gentianlift/types';
import {describeStartError} from './start-error.js';

/** Options of reloading settings. */
export type ReloadOptions = {
	/** Path of the settings file. */
	path: string;
	/** Reads and applies the settings; throws if they can't be read. */
	apply: () => void;
	/** Sets what is called when the process is told to read its settings again. */
	setReloadHandler: (handler: () => void) => void;
	logger: Logger;
};

/** Interval at which the settings file is checked for changes. */
const pollInterval: Milliseconds = 1000;

/** Applies the settings again when the process is told to, and when the file has changed, which may happen without a signal. */
export const reloadOnChanges = ({
	path, apply, setReloadHandler, logger,
}: ReloadOptions): void => {
	const reload = (): void => {
		try {
			apply();
		} catch (error) {
			logger.warn('reload-failed', describeStartError(error, path));
		}
	};

	setReloadHandler(reload);
	watchFile(path, {interval: pollInterval, persistent: false}, reload);
};
