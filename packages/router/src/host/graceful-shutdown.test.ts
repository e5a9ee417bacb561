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

/** Creates a host whose requests, answers and settlements take the times of a schedule. */
const createHost = ({settlingTime, refusalTime, isFinishFailing}: Schedule) => {
	const clock = createManualClock();
	const exits: Exit[] = [];
	const open = new Map<number, {isIdempotent: boolean}>();
	const counts = {
		accepted: 0, refused: 0, finishes: 0, unsettled: 0, listenerCloses: 0,
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
