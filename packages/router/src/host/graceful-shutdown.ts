import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Milliseconds} from '@gentianlift/types';

/** State of a host's shutdown. */
export type ShutdownState
	= | {kind: 'serving'}
	/** No longer among the addresses that callers are given, but still accepts requests. */
		| {kind: 'draining'; since: Milliseconds}
	/** Refuses new requests, and completes those in flight unless an operator has forced the stop. */
		| {kind: 'stopping'; since: Milliseconds; isForced: boolean};

/** Operations that a graceful shutdown performs. */
export type ShutdownSteps = {
	setDraining: (isDraining: boolean) => void;
	/** Closes the listener for callers; their connections stay open. */
	closeListener: () => void;
	/** Returns the number of requests that are queued or running on this host, or whose answers aren't written yet. */
	getOpenCount: () => number;
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
	/** Cancels the shutdown, which is possible only while the host still accepts requests. */
	cancel: () => ShutdownState;
	/** Aborts the requests in flight and ends the process, at an operator's request. */
	force: () => ShutdownState;
	getState: () => ShutdownState;
};

/** Options of a graceful shutdown; `timeToLive` is the time for which callers may cache an address. */
export type GracefulShutdownOptions = {clock: Clock; logger: Logger; timeToLive: Milliseconds; steps: ShutdownSteps};

const openCheckInterval: Milliseconds = 20;
/** Time after which every host knows that this one is draining, and no longer gives callers its address. */
const announcementTime: Milliseconds = 2000;
/** Margin beyond the time to live of addresses, for callers with late clocks or delayed requests. */
const lateCallerMargin: Milliseconds = 500;
const exitStatuses = {graceful: 0, forced: 1};

/**
Creates the graceful shutdown of a host.

From the state `stopping` on, no request is accepted. All that takes time comes before a last check that nothing is open, and the process ends in the step of that check.
*/
export const createGracefulShutdown = ({clock, logger, timeToLive, steps}: GracefulShutdownOptions): GracefulShutdown => {
	let state: ShutdownState = {kind: 'serving'};
	let shutdownRun = 0;

	const finish = async (): Promise<void> => {
		try {
			await steps.finish();
		} catch (error) {
			logger.error('stop-incomplete', {detail: error instanceof Error ? error.stack : String(error)});
		}
	};

	/** Waits until nothing is open, and calls `run` in the same step, so that it acts on a condition that holds. */
	const runOnceNothingIsOpen = async (run: () => Promise<void> | void): Promise<void> => {
		while (steps.getOpenCount() > 0) {
			// eslint-disable-next-line no-await-in-loop -- Waits without a limit until the last request has ended.
			await clock.sleep(openCheckInterval);
		}

		await run();
	};

	const exit = (since: Milliseconds): void => {
		const isForced = state.kind === 'stopping' && state.isForced;
		logger.info('stopped', {open: steps.getOpenCount(), after: Math.round(clock.monotonic() - since), forced: isForced});
		steps.exit(isForced ? exitStatuses.forced : exitStatuses.graceful);
	};

	const stop = async (since: Milliseconds): Promise<void> => {
		await runOnceNothingIsOpen(finish);
		// Requests that are refused meanwhile are open until their answers are written.
		await runOnceNothingIsOpen(() => {
			exit(since);
		});
	};

	const beginStopping = (isForced: boolean): void => {
		const since = clock.monotonic();
		shutdownRun++;
		state = {kind: 'stopping', since, isForced};
		logger.info('stopping', {open: steps.getOpenCount()});
		steps.closeListener();
		void stop(since);
	};

	const drain = async (ownRun: number): Promise<void> => {
		await clock.sleep(announcementTime + timeToLive + lateCallerMargin);
		if (ownRun === shutdownRun) {
			beginStopping(false);
		}
	};

	return {
		begin(reason) {
			if (state.kind === 'serving') {
				shutdownRun++;
				state = {kind: 'draining', since: clock.monotonic()};
				logger.info('draining', {reason});
				steps.setDraining(true);
				void drain(shutdownRun);
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
			logger.warn('forced-stop', {open: steps.getOpenCount()});
			if (state.kind === 'stopping') {
				state = {...state, isForced: true};
			} else {
				steps.setDraining(true);
				beginStopping(true);
			}

			steps.abortRequests();
			return state;
		},
		getState: () => state,
	};
};
