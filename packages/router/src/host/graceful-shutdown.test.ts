import {createManualClock} from '@gentianlift/clock';
import {createSilentLogger} from '@gentianlift/logger';
import type {Milliseconds} from '@gentianlift/types';
import {
	array, assert, asyncProperty, boolean, constant, integer, oneof, record,
} from 'fast-check';
import {expect, test} from 'vitest';
import {createGracefulShutdown} from './graceful-shutdown.js';

/** What happens to a host; a late event comes after the timers that are due at the same time. */
type Event = {at: Milliseconds; isLate: boolean} & (
	| {kind: 'signal' | 'cancel' | 'force'}
	| {kind: 'request'; duration: Milliseconds; isIdempotent: boolean}
);

/** Events, and how long the end of a host takes. */
type Schedule = {events: Event[]; settlingTime: Milliseconds; refusalTime: Milliseconds; isFinishFailing: boolean};

/** Observations at the exit of a host. */
type Exit = {at: Milliseconds; status: number; open: number; unsettled: number};

const timeToLive: Milliseconds = 100;
/** From the begin of a shutdown to the end of accepting. */
const drainTime: Milliseconds = 2000 + timeToLive + 500;
const abortTime: Milliseconds = 5;
/** Longer than any schedule takes. */
const maxTime: Milliseconds = 20_000;
const times = integer({min: 0, max: 4000});
const scheduleArbitrary = record<Schedule>({
	events: array(oneof(
		record({kind: oneof(constant('signal' as const), constant('cancel' as const), constant('force' as const)), at: times, isLate: boolean()}),
		record({
			kind: constant('request' as const), at: times, isLate: boolean(), duration: integer({min: 0, max: 400}), isIdempotent: boolean(),
		}),
	), {minLength: 1, maxLength: 24}),
	settlingTime: integer({min: 0, max: 500}),
	refusalTime: integer({min: 0, max: 60}),
	isFinishFailing: boolean(),
});

/** Creates a host whose requests, answers and settlements take the times of a schedule, with a grace period if one is given. */
const createHost = ({settlingTime, refusalTime, isFinishFailing}: Schedule, gracePeriod?: Milliseconds) => {
	const clock = createManualClock();
	const exits: Exit[] = [];
	const open = new Map<number, {isIdempotent: boolean}>();
	const counts = {
		accepted: 0, refused: 0, finishes: 0, unsettled: 0, listenerCloses: 0, answered: 0,
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

type Host = ReturnType<typeof createHost>;

const apply = ({shutdown, receive}: Host, event: Event): void => {
	switch (event.kind) {
		case 'signal': {
			shutdown.begin('signal');
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

const scheduleEvent = (host: Host, event: Event): void => {
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

const play = async (schedule: Schedule): Promise<Host> => {
	const host = createHost(schedule);
	for (const event of schedule.events) {
		scheduleEvent(host, event);
	}

	await host.clock.advance(maxTime);
	return host;
};

// Guards against: a request that arrives between the decision to end and the exit is cut, or its claim isn't settled; two shutdowns end a host twice.
test('a host exits once, in a step in which nothing is open or unsettled', async () => {
	await assert(asyncProperty(scheduleArbitrary, async schedule => {
		const {shutdown, exits, counts, isAborted} = await play(schedule);
		const hasEnded = shutdown.getState().kind === 'stopping';
		expect([exits.length, counts.finishes, counts.listenerCloses]).toEqual(hasEnded ? [1, 1, 1] : [0, 0, 0]);
		expect(exits.map(({open, unsettled}) => ({open, unsettled}))).toEqual(exits.map(() => ({open: 0, unsettled: 0})));
		expect(hasEnded || !isAborted()).toBe(true);
	}), {seed: 50, numRuns: 2000});
});

test('a planned stop accepts requests for the time to live and exits with status 0, a forced one with status 1', async () => {
	await assert(asyncProperty(scheduleArbitrary, async schedule => {
		const {exits} = await play(schedule);
		const firstSignal = Math.min(...schedule.events.filter(({kind}) => kind === 'signal').map(({at}) => at));
		for (const {at, status} of exits) {
			const isForced = schedule.events.some(event => event.kind === 'force' && event.at <= at);
			expect(status === 1 ? isForced : at >= firstSignal + drainTime).toBe(true);
		}
	}), {seed: 51, numRuns: 1000});
});

test('a shutdown whose last step fails ends all the same', async () => {
	const {exits} = await play({
		events: [{kind: 'signal', at: 0, isLate: false}], settlingTime: 0, refusalTime: 0, isFinishFailing: true,
	});
	expect(exits).toEqual([{
		at: drainTime, status: 0, open: 0, unsettled: 0,
	}]);
});

const gracePeriod: Milliseconds = 4000;
/** When requests are aborted, those that are left are answered, and the process exits. */
const abortAt: Milliseconds = 3000;
const answerAt: Milliseconds = 3600;
const lastExitAt: Milliseconds = 3850;
const noDelays = {
	events: [], settlingTime: 0, refusalTime: 0, isFinishFailing: false,
};

// Guards against: a host goes on waiting for a request until its process is killed, and all that it has ends without an answer.
test('a host whose process will be killed aborts what is open, and answers the rest before that', async () => {
	const {clock, shutdown, counts, exits, receive, isAborted} = createHost(noDelays, gracePeriod);
	receive(60_000, true);
	receive(60_000, false);
	shutdown.terminate('SIGTERM');
	await clock.advance(abortAt - 1);
	expect([isAborted(), counts.answered]).toEqual([false, 0]);
	await clock.advance(1 + abortTime);
	expect([isAborted(), counts.answered]).toEqual([true, 0]);
	await clock.advance(answerAt - abortAt - abortTime);
	expect(counts.answered).toBe(1);
	await clock.advance(gracePeriod - answerAt);
	expect(exits).toMatchObject([{status: 1, open: 0}]);
	expect(exits[0]!.at).toBeLessThan(lastExitAt);
});

// Guards against: what can't be ended holds a process until it is killed.
test('a host whose process will be killed exits before that, whatever is open', async () => {
	const {clock, shutdown, exits, receive} = createHost({...noDelays, settlingTime: 60_000}, gracePeriod);
	receive(60_000, false);
	shutdown.terminate('SIGTERM');
	await clock.advance(gracePeriod);
	expect(exits).toMatchObject([{at: lastExitAt, status: 1}]);
	await clock.advance(maxTime);
	expect(exits).toHaveLength(1);
});

test('a host whose process will be killed stops to accept requests in the first part of that time', async () => {
	const {clock, shutdown, counts, receive} = createHost(noDelays, gracePeriod);
	receive(60_000, true);
	shutdown.terminate('SIGTERM');
	await clock.advance(abortAt / 3);
	receive(10, true);
	expect(counts).toMatchObject({accepted: 1, refused: 1});
});

test('a host without open requests exits with status 0 within its grace period', async () => {
	const {clock, shutdown, exits, isAborted} = createHost(noDelays, gracePeriod);
	shutdown.terminate('SIGTERM');
	await clock.advance(gracePeriod);
	expect(exits).toMatchObject([{at: abortAt / 3, status: 0}]);
	expect(isAborted()).toBe(false);
});

test('the grace period begins with the first signal, after a drain by an operator, too, which it makes final', async () => {
	const {clock, shutdown, exits, receive} = createHost(noDelays, gracePeriod);
	receive(60_000, true);
	shutdown.begin('operator');
	await clock.advance(1000);
	shutdown.terminate('SIGTERM');
	await clock.advance(500);
	shutdown.terminate('SIGTERM');
	expect(shutdown.cancel().kind).toBe('draining');
	await clock.advance(gracePeriod - 500);
	expect(exits).toHaveLength(1);
	expect(exits[0]!.at).toBeGreaterThanOrEqual(1000 + abortAt);
});

test('a host whose process is not killed waits for its last request', async () => {
	const {clock, shutdown, exits, receive, isAborted} = createHost(noDelays);
	receive(maxTime - 1000, true);
	shutdown.terminate('SIGTERM');
	await clock.advance(maxTime - 1001);
	expect([exits.length, isAborted()]).toEqual([0, false]);
	await clock.advance(1001);
	expect(exits).toMatchObject([{status: 0}]);
});
