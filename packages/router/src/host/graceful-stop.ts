import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Milliseconds} from '@gentianlift/types';

/** Where a host is on its way out. */
export type StopState
	= | {kind: 'serving'}
	/** Out of the addresses that callers are given, but still serving those that come. */
		| {kind: 'draining'; since: Milliseconds}
	/** No longer listening; finishes what it has. */
		| {kind: 'stopping'; since: Milliseconds};

/** Steps of a graceful shutdown. */
export type StopSteps = {
	setDraining: (isDraining: boolean) => void;
	/** Stops to listen for callers. */
	closeListener: () => void;
	/** Requests that wait or run here. */
	getOpenRequests: () => number;
	/** Ends open requests with `forced-stop`. */
	cutRequests: () => void;
	/** Hands over what the host owns, and ends; resolves when all is stored. */
	finish: () => Promise<void>;
	exit: (status: number) => void;
};

/** Takes a host out of service without cutting a request short. */
export type GracefulStop = {
	/** Begins; without effect if it has begun. */
	begin: (reason: string) => StopState;
	/** Takes it back; only while the host still listens. */
	undo: () => StopState;
	/** Cuts open requests and ends the process, on an operator's word. */
	force: () => StopState;
	getState: () => StopState;
};

/** What the shutdown takes; `timeToLive` is how long callers may keep an address. */
export type GracefulStopOptions = {clock: Clock; logger: Logger; timeToLive: Milliseconds; steps: StopSteps};

const checkInterval: Milliseconds = 50;
/** Time beyond the time to live for callers whose clocks or requests are late. */
const lateCallers: Milliseconds = 500;

/** Creates the shutdown of a host. */
export const createGracefulStop = ({clock, logger, timeToLive, steps}: GracefulStopOptions): GracefulStop => {
	let state: StopState = {kind: 'serving'};
	let run = 0;
	let isForced = false;

	const waitForRequests = async (): Promise<void> => {
		while (steps.getOpenRequests() > 0) {
			// eslint-disable-next-line no-await-in-loop -- Waits until the last request has ended, however long it takes.
			await clock.sleep(checkInterval);
		}
	};

	const stop = async (ownRun: number): Promise<void> => {
		await clock.sleep(timeToLive + lateCallers);
		if (ownRun !== run) {
			return;
		}

		state = {kind: 'stopping', since: clock.monotonic()};
		logger.info('stopping', {open: steps.getOpenRequests()});
		steps.closeListener();
		await waitForRequests();
		await steps.finish();
		logger.info('stopped');
		steps.exit(isForced ? 1 : 0);
	};

	return {
		begin(reason) {
			if (state.kind === 'serving') {
				run++;
				state = {kind: 'draining', since: clock.monotonic()};
				logger.info('draining', {reason});
				steps.setDraining(true);
				void stop(run);
			} else {
				logger.warn('stop-refused', {reason, detail: 'the host is draining and cuts no request; an operator may force it'});
			}

			return state;
		},
		undo() {
			if (state.kind === 'draining') {
				run++;
				state = {kind: 'serving'};
				steps.setDraining(false);
				logger.info('undrained');
			}

			return state;
		},
		force() {
			isForced = true;
			logger.warn('forced-stop', {open: steps.getOpenRequests()});
			run++;
			steps.setDraining(true);
			state = {kind: 'stopping', since: clock.monotonic()};
			steps.closeListener();
			steps.cutRequests();
			void waitForRequests().then(steps.finish).then(() => {
				steps.exit(1);
			});
			return state;
		},
		getState: () => state,
	};
};
