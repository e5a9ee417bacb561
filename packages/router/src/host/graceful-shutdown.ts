import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Milliseconds} from '@gentianlift/types';

/** State of a host's shutdown. */
export type ShutdownState
	= | {kind: 'serving'}
	/** No longer among the addresses that callers are given, but still accepts requests. */
		| {kind: 'draining'; since: Milliseconds}
	/** Refuses new requests, and completes those in flight unless the stop is forced, by an operator or by the end of the grace period. */
		| {kind: 'stopping'; since: Milliseconds; isForced: boolean};

/** Why requests in flight are aborted. */
export type AbortReason = 'operator' | 'grace-period';

/** Operations that a graceful shutdown performs. */
export type ShutdownSteps = {
	setDraining: (isDraining: boolean) => void;
	/** Closes the listener for callers; their connections stay open. */
	closeListener: () => void;
	/** Returns the number of requests that are queued or running on this host, or whose answers aren't written yet. */
	getOpenCount: () => number;
	/** Aborts the requests in flight with the error `forced-stop`, but for bookings that were sent. */
	abortRequests: () => void;
	/** Answers the requests that are still in flight, or ends answers that have begun. */
	answerRequests: () => void;
	/** Stores outstanding settlements of claims and stops all components. */
	finish: () => Promise<void>;
	exit: (status: number) => void;
};

/** Takes a host out of service without aborting requests, unless its process is about to be killed. */
export type GracefulShutdown = {
	/** Begins the shutdown; has no effect if it has already begun. */
	begin: (reason: string) => ShutdownState;
	/** Begins the shutdown of a host whose process is killed after its grace period, if it has one; that goes for a shutdown that has already begun, too. */
	terminate: (reason: string) => ShutdownState;
	/** Cancels the shutdown, which is possible only while the host still accepts requests and its process isn't going to be killed. */
	cancel: () => ShutdownState;
	/** Aborts the requests in flight and ends the process, at an operator's request. */
	force: () => ShutdownState;
	getState: () => ShutdownState;
};

/** Options of a graceful shutdown. */
export type GracefulShutdownOptions = {
	clock: Clock;
	logger: Logger;
	/** Time for which callers may cache an address. */
	timeToLive: Milliseconds;
	/** Time from the signal to stop until the process is killed; undefined if it isn't. */
	gracePeriod?: Milliseconds | undefined;
	steps: ShutdownSteps;
};

const openCheckInterval: Milliseconds = 20;
/** Time after which every host knows that this one is draining, and no longer gives callers its address. */
const announcementTime: Milliseconds = 2000;
/** Margin beyond the time to live of addresses, for callers with late clocks or delayed requests. */
const lateCallerMargin: Milliseconds = 500;
/** Parts of the grace period before its end in which requests are aborted, those that still have no answer get one, and the process exits whatever is open. */
const abortMargin: Milliseconds = 1000;
const answerMargin: Milliseconds = 500;
const exitMargin: Milliseconds = 250;
/** Part of the time in which requests are served during which a host that will be killed accepts new ones. */
const acceptingPart = 1 / 3;
const exitStatuses = {graceful: 0, forced: 1};

/**
Creates the graceful shutdown of a host.

From the state `stopping` on, no request is accepted. Callers may still use the address of a host that had to end its drain early, so that its listener stays open until the last step, and what comes is refused. All that takes time comes before a last check that nothing is open, and the process ends in the step of that check. Only the end of a grace period ends it before that.
*/
export const createGracefulShutdown = ({clock, logger, timeToLive, gracePeriod, steps}: GracefulShutdownOptions): GracefulShutdown => {
	let state: ShutdownState = {kind: 'serving'};
	let shutdownRun = 0;
	/** Whether the shutdown ends before the process is killed. */
	let isLimited = false;
	let hasExited = false;
	let hasClosedListener = false;

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
			// eslint-disable-next-line no-await-in-loop -- Waits until the last request has ended.
			await clock.sleep(openCheckInterval);
		}

		await run();
	};

	const closeListener = (): void => {
		if (!hasClosedListener) {
			hasClosedListener = true;
			steps.closeListener();
		}
	};

	const exit = (): void => {
		if (hasExited) {
			return;
		}

		hasExited = true;
		closeListener();
		const {since, isForced} = state.kind === 'stopping' ? state : {since: clock.monotonic(), isForced: false};
		logger.info('stopped', {open: steps.getOpenCount(), after: Math.round(clock.monotonic() - since), forced: isForced});
		steps.exit(isForced ? exitStatuses.forced : exitStatuses.graceful);
	};

	const stop = async (): Promise<void> => {
		await runOnceNothingIsOpen(finish);
		closeListener();
		// Requests that are refused meanwhile are open until their answers are written.
		await runOnceNothingIsOpen(exit);
	};

	const beginStopping = (isForced: boolean): void => {
		shutdownRun++;
		state = {kind: 'stopping', since: clock.monotonic(), isForced};
		logger.info('stopping', {open: steps.getOpenCount()});
		if (!isLimited) {
			closeListener();
		}

		void stop();
	};

	const drain = async (ownRun: number): Promise<void> => {
		await clock.sleep(announcementTime + timeToLive + lateCallerMargin);
		if (ownRun === shutdownRun) {
			beginStopping(false);
		}
	};

	const begin = (reason: string): ShutdownState => {
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
	};

	/** Aborts the requests in flight, and refuses new ones. */
	const abort = (reason: AbortReason): void => {
		logger.warn('forced-stop', {reason, open: steps.getOpenCount()});
		if (state.kind === 'stopping') {
			state = {...state, isForced: true};
		} else {
			steps.setDraining(true);
			beginStopping(true);
		}

		steps.abortRequests();
	};

	const endDrain = (): void => {
		if (state.kind === 'draining') {
			beginStopping(false);
		}
	};

	const abortOpenRequests = (): void => {
		if (steps.getOpenCount() > 0) {
			abort('grace-period');
		}
	};

	/** Ends the shutdown before the process is killed, whatever is open. */
	const limitShutdown = (limit: Milliseconds): void => {
		const servingTime = Math.max(0, limit - abortMargin);
		clock.after(servingTime * acceptingPart, endDrain);
		clock.after(servingTime, abortOpenRequests);
		clock.after(Math.max(servingTime, limit - answerMargin), steps.answerRequests);
		clock.after(Math.max(servingTime, limit - exitMargin), () => {
			// For those that have come since.
			steps.answerRequests();
			exit();
		});
	};

	return {
		begin,
		terminate(reason) {
			begin(reason);
			if (gracePeriod !== undefined && !isLimited) {
				isLimited = true;
				limitShutdown(gracePeriod);
			}

			return state;
		},
		cancel() {
			if (state.kind === 'draining' && !isLimited) {
				shutdownRun++;
				state = {kind: 'serving'};
				steps.setDraining(false);
				logger.info('undrained');
			}

			return state;
		},
		force() {
			abort('operator');
			return state;
		},
		getState: () => state,
	};
};
