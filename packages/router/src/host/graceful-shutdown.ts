import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Milliseconds} from '@gentianlift/types';

/** Where a host is on its way out. */
export type ShutdownState
	= | {kind: 'serving'}
	/** Out of the addresses that callers are given, but still serving those that come. */
		| {kind: 'draining'; since: Milliseconds}
	/** No longer listening; finishes what it has. */
		| {kind: 'stopping'; since: Milliseconds};

/** Steps of a graceful shutdown. */
export type ShutdownSteps = {
	setDraining: (isDraining: boolean) => void;
	/** Stops to listen for callers. */
	closeListener: () => void;
	/** Requests that wait or run here. */
	getInFlightCount: () => number;
	/** Ends open requests with `forced-stop`. */
	abortRequests: () => void;
	/** Hands over what the host owns, and ends; resolves when all is stored. */
	finish: () => Promise<void>;
	exit: (status: number) => void;
};

/** Takes a host out of service without cutting a request short. */
export type GracefulShutdown = {
	/** Begins; without effect if it has begun. */
	begin: (reason: string) => ShutdownState;
	/** Takes it back; only while the host still listens. */
	cancel: () => ShutdownState;
	/** Cuts open requests and ends the process, on an operator's word. */
	force: () => ShutdownState;
	getState: () => ShutdownState;
};

/** What the shutdown takes; `timeToLive` is how long callers may keep an address. */
export type GracefulShutdownOptions = {clock: Clock; logger: Logger; timeToLive: Milliseconds; steps: ShutdownSteps};

const checkInterval: Milliseconds = 50;
/** Time beyond the time to live for callers whose clocks or requests are late. */
const lateCallerMargin: Milliseconds = 500;

/** Creates the shutdown of a host. */
export const createGracefulShutdown = ({clock, logger, timeToLive, steps}: GracefulShutdownOptions): GracefulShutdown => {
	let state: ShutdownState = {kind: 'serving'};
	let shutdownRun = 0;
	let isForced = false;

	const waitForRequests = async (): Promise<void> => {
		while (steps.getInFlightCount() > 0) {
			// eslint-disable-next-line no-await-in-loop -- Waits until the last request has ended, however long it takes.
			await clock.sleep(checkInterval);
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
				logger.warn('stop-refused', {reason, detail: 'the host is draining and cuts no request; an operator may force it'});
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
