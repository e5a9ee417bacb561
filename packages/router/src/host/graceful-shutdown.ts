import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Milliseconds} from '@gentianlift/types';

/** State of a host's shutdown. */
export type ShutdownState
	= | {kind: 'serving'}
	/** No longer among the addresses that callers are given, but still accepts requests. */
		| {kind: 'draining'; since: Milliseconds}
	/** No longer listens; completes the requests in flight. */
		| {kind: 'stopping'; since: Milliseconds};

/** Operations that a graceful shutdown performs. */
export type ShutdownSteps = {
	setDraining: (isDraining: boolean) => void;
	/** Closes the listener for callers. */
	closeListener: () => void;
	/** Returns the number of requests that are queued or running on this host. */
	getInFlightCount: () => number;
	/** Aborts the requests in flight with the error `forced-stop`. */
	abortRequests: () => void;
	/** Stores outstanding settlements of claims and stops all components. */
	finish: () => Promise<void>;
	exit: (status: number) => void;
};

/** Takes a host out of service without aborting requests. */
export type GracefulShutdown = {
	/** Begins the shutdown; has no effect if it has already begun. */
	begin: (reason: string) => ShutdownState;
	/** Cancels the shutdown, which is possible only while the host still listens. */
	cancel: () => ShutdownState;
	/** Aborts the requests in flight and ends the process, at an operator's request. */
	force: () => ShutdownState;
	getState: () => ShutdownState;
};

/** Options of a graceful shutdown; `timeToLive` is the time for which callers may cache an address. */
export type GracefulShutdownOptions = {clock: Clock; logger: Logger; timeToLive: Milliseconds; steps: ShutdownSteps};

const inFlightCheckInterval: Milliseconds = 50;
/** Margin beyond the time to live of addresses, for callers with late clocks or delayed requests. */
const lateCallerMargin: Milliseconds = 500;

/** Creates the graceful shutdown of a host. */
export const createGracefulShutdown = ({clock, logger, timeToLive, steps}: GracefulShutdownOptions): GracefulShutdown => {
	let state: ShutdownState = {kind: 'serving'};
	let shutdownRun = 0;
	let isForced = false;

	const waitForRequests = async (): Promise<void> => {
		while (steps.getInFlightCount() > 0) {
			// eslint-disable-next-line no-await-in-loop -- Waits without a limit until the last request has ended.
			await clock.sleep(inFlightCheckInterval);
		}
	};

	const runShutdown = async (ownRun: number): Promise<void> => {
		await clock.sleep(timeToLive + lateCallerMargin);
		if (ownRun !== shutdownRun) {
			return;
		}

		state = {kind: 'stopping', since: clock.monotonic()};
		logger.info('stopping', {open: steps.getInFlightCount()});
		steps.closeListener();
		await waitForRequests();
		await steps.finish();
		logger.info('stopped');
		steps.exit(isForced ? 1 : 0);
	};

	return {
		begin(reason) {
			if (state.kind === 'serving') {
				shutdownRun++;
				state = {kind: 'draining', since: clock.monotonic()};
				logger.info('draining', {reason});
				steps.setDraining(true);
				void runShutdown(shutdownRun);
			} else {
				logger.warn('stop-refused', {reason, detail: 'the shutdown has already begun and aborts no request; an operator can force it'});
			}

			return state;
		},
		cancel() {
			if (state.kind === 'draining') {
				shutdownRun++;
				state = {kind: 'serving'};
				steps.setDraining(false);
				logger.info('undrained');
			}

			return state;
		},
		force() {
			isForced = true;
			logger.warn('forced-stop', {open: steps.getInFlightCount()});
			shutdownRun++;
			steps.setDraining(true);
			state = {kind: 'stopping', since: clock.monotonic()};
			steps.closeListener();
			steps.abortRequests();
			void waitForRequests().then(steps.finish).then(() => {
				steps.exit(1);
			});
			return state;
		},
		getState: () => state,
	};
};
