import process from 'node:process';
import {createSystemClock, type Clock} from '@gentianlift/clock';
import {isSettingsFailure} from '@gentianlift/errors';
import {createBufferedOutput, createLogger, type Logger} from '@gentianlift/logger';
import {createMetrics, type Metrics} from '@gentianlift/metrics';
import {reloadOnChanges} from './reload-on-changes.js';
import type {SignalHandler} from './hold-signal.js';
import {describeStartError} from './start-error.js';
import {startProcess, type ProcessStartOptions} from './start-process.js';
import {
	createStopHandler, exitProcess, exitStatus, type ProcessEndOptions,
} from './stop-process.js';
import {handleUncaughtErrors} from './uncaught-errors.js';

/** Dependencies of a host that runs as the only one of its process. */
export type ProcessDependencies = {clock: Clock; logger: Logger; metrics: Metrics};

/** A host as its process starts and ends it. */
export type ProcessHost<Settings> = Pick<ProcessStartOptions, 'open' | 'stop' | 'countPendingAnswers' | 'closeListener' | 'getGracePeriod'> & Pick<ProcessEndOptions, 'reportOpenCalls'> & {
	reload: (settings: Settings) => void;
};

/** Sets what is called with each signal. */
type SetHandler = (handler: SignalHandler) => void;

/** What the process of a host runs. */
export type ProcessOptions<Settings> = {
	/** Returns the path of the settings file; throws a failure if none is named. */
	getSettingsPath: () => string;
	/** Reads the settings; throws a failure that says what is wrong with them. */
	readSettings: (path: string) => Settings;
	createHost: (settings: Settings, dependencies: ProcessDependencies) => ProcessHost<Settings>;
	setReloadHandler: SetHandler;
	setStopHandler: SetHandler;
};

/** The host of a process, and the file that its settings are from. */
type ConfiguredHost<Settings> = {host: ProcessHost<Settings>; settingsPath: string};

/** Creates the host by its settings; logs what prevents that and returns undefined. */
const createConfiguredHost = <Settings>({getSettingsPath, readSettings, createHost}: ProcessOptions<Settings>, dependencies: ProcessDependencies): ConfiguredHost<Settings> | undefined => {
	let settingsPath: string | undefined;
	try {
		settingsPath = getSettingsPath();
		return {host: createHost(readSettings(settingsPath), dependencies), settingsPath};
	} catch (error) {
		dependencies.logger.error('start-failed', describeStartError(error, settingsPath));
		return undefined;
	}
};

/** Runs a host until the process is told to stop; without settings that can be used, the process says so and ends with the status of a failure. */
export const runProcess = async <Settings>(options: ProcessOptions<Settings>): Promise<void> => {
	const {readSettings, setReloadHandler, setStopHandler} = options;
	const clock = createSystemClock();
	const output = createBufferedOutput({now: clock.now});
	const logger = createLogger('info', output.write);
	const metrics = createMetrics();
	const parts = {
		clock, logger, output, metrics,
	};
	handleUncaughtErrors(logger, metrics);
	const configured = createConfiguredHost(options, parts);
	if (configured === undefined) {
		await exitProcess(exitStatus.failed, clock.monotonic(), {
			...parts, countPendingAnswers: () => 0, closeListener: () => undefined, getGracePeriod: () => 0,
		});
		return;
	}

	const {host, settingsPath} = configured;
	setStopHandler(createStopHandler({...parts, ...host}));
	reloadOnChanges({
		path: settingsPath,
		apply() {
			host.reload(readSettings(settingsPath));
		},
		setReloadHandler,
		logger,
	});
	await startProcess({...parts, ...host});
};

/** Reads the settings and writes whose they are, or what is wrong with them; sets the exit status by that. */
export const checkSettings = <Settings extends {host: string}>({getSettingsPath, readSettings}: Pick<ProcessOptions<Settings>, 'getSettingsPath' | 'readSettings'>): void => {
	try {
		const {host} = readSettings(getSettingsPath());
		process.stdout.write(`${host}: settings are valid\n`);
	} catch (error) {
		if (!isSettingsFailure(error)) {
			throw error;
		}

		process.stderr.write(`${error.message}\n`);
		process.exitCode = exitStatus.failed;
	}
};
