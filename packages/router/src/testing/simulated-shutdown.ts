import {createManualClock} from '@gentianlift/clock';
import {createSilentLogger} from '@gentianlift/logger';
import type {Milliseconds} from '@gentianlift/types';
import {createGracefulShutdown} from '../host/graceful-shutdown.js';

/** What happens to a host; a late event comes after the timers that are due at the same time. */
export type ShutdownEvent = {at: Milliseconds; isLate: boolean} & (
	| {kind: 'signal' | 'cancel' | 'force'}
	| {kind: 'request'; duration: Milliseconds; isIdempotent: boolean}
);

/** Events, and how long the end of a host takes. */
export type Schedule = {events: ShutdownEvent[]; settlingTime: Milliseconds; refusalTime: Milliseconds; isFinishFailing: boolean};

/** Observations at the exit of a host. */
type Exit = {at: Milliseconds; status: number; open: number; unsettled: number};

const timeToLive: Milliseconds = 100;
/** From the begin of a shutdown to the end of accepting. */
export const drainTime: Milliseconds = 2000 + timeToLive + 500;
/** Time in which an aborted request ends. */
export const abortTime: Milliseconds = 5;
/** Longer than any schedule takes. */
export const maxTime: Milliseconds = 20_000;

/** Creates a host whose requests, answers and settlements take the times of a schedule, with a grace period if one is given. */
export const createSimulatedShutdown = ({settlingTime, refusalTime, isFinishFailing}: Schedule, gracePeriod?: Milliseconds) => {
	const clock = createManualClock();
	const exits: Exit[] = [];
	const open = new Map<number, {isIdempotent: boolean}>();
	const counts = {
		accepted: 0, refused: 0, finishes: 0, unsettled: 0, listenerCloses: 0, listenerClosedAt: 0, answered: 0,
	};
	let lastRequest = 0;
	let isAborted = false;

	const end = (request: number): void => {
		if (open.get(request)?.isIdempotent === false) {
			counts.unsettled++;
		}

		open.delete(request);
	};

	const endAfter = (request: number, delay: Milliseconds): void => {
		clock.after(delay, () => {
			end(request);
		});
	};

	const shutdown = createGracefulShutdown({
		clock,
		logger: createSilentLogger(),
		timeToLive,
		gracePeriod,
		steps: {
			setDraining: () => undefined,
			closeListener() {
				counts.listenerClosedAt = clock.monotonic();
				counts.listenerCloses++;
			},
			getOpenCount: () => open.size,
			abortRequests() {
				isAborted = true;
				for (const [request, {isIdempotent}] of open) {
					if (isIdempotent) {
						endAfter(request, abortTime);
					}
				}
			},
			answerRequests() {
				counts.answered += open.size;
				for (const request of open.keys()) {
					endAfter(request, 0);
				}
			},
			async finish() {
				counts.finishes++;
				counts.unsettled = 0;
				await clock.sleep(settlingTime);
				if (isFinishFailing) {
					throw new TypeError('not finished');
				}
			},
			exit(status) {
				exits.push({
					at: clock.monotonic(), status, open: open.size, unsettled: counts.unsettled,
				});
			},
		},
	});

	const receive = (duration: Milliseconds, isIdempotent: boolean): void => {
		if (exits.length > 0) {
			return;
		}

		lastRequest++;
		const isRefused = shutdown.getState().kind === 'stopping';
		counts[isRefused ? 'refused' : 'accepted']++;
		open.set(lastRequest, {isIdempotent: isIdempotent || isRefused});
		endAfter(lastRequest, isRefused ? refusalTime : duration);
	};

	return {
		clock, shutdown, exits, counts, receive, isAborted: () => isAborted,
	};
};

/** A host whose shutdown is simulated. */
export type SimulatedShutdown = ReturnType<typeof createSimulatedShutdown>;

const apply = ({shutdown, receive}: SimulatedShutdown, event: ShutdownEvent): void => {
	switch (event.kind) {
		case 'signal': {
			shutdown.terminate('signal');
			return;
		}

		case 'cancel': {
			shutdown.cancel();
			return;
		}

		case 'force': {
			shutdown.force();
			return;
		}

		case 'request': {
			receive(event.duration, event.isIdempotent);
		}
	}
};

const scheduleEvent = (host: SimulatedShutdown, event: ShutdownEvent): void => {
	host.clock.after(event.at, () => {
		if (event.isLate) {
			host.clock.after(0, () => {
				apply(host, event);
			});
		} else {
			apply(host, event);
		}
	});
};

/** Plays the events of a schedule to their end. */
export const playSchedule = async (schedule: Schedule, gracePeriod?: Milliseconds): Promise<SimulatedShutdown> => {
	const host = createSimulatedShutdown(schedule, gracePeriod);
	for (const event of schedule.events) {
		scheduleEvent(host, event);
	}

	await host.clock.advance(maxTime);
	return host;
};
