import {
	array, assert, asyncProperty, boolean, constant, integer, oneof, record,
} from 'fast-check';
import {expect, test} from 'vitest';
import type {Milliseconds} from '@gentianlift/types';
import {drainTime, playSchedule, type Schedule} from '../testing/simulated-shutdown.js';

const times = integer({min: 0, max: 4000});
/** Series of events that overlap. */
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

// Guards against: a request that arrives between the decision to end and the exit is cut, or its claim isn't settled; two shutdowns end a host twice.
test('a host exits once, in a step in which nothing is open or unsettled', async () => {
	await assert(asyncProperty(scheduleArbitrary, async schedule => {
		const {shutdown, exits, counts, isAborted} = await playSchedule(schedule);
		const hasEnded = shutdown.getState().kind === 'stopping';
		expect([exits.length, counts.finishes, counts.listenerCloses]).toEqual(hasEnded ? [1, 1, 1] : [0, 0, 0]);
		expect(exits.map(({open, unsettled}) => ({open, unsettled}))).toEqual(exits.map(() => ({open: 0, unsettled: 0})));
		expect(hasEnded || !isAborted()).toBe(true);
	}), {seed: 50, numRuns: 2000});
});

test('a planned stop accepts requests for the time to live and exits with status 0, a forced one with status 1', async () => {
	await assert(asyncProperty(scheduleArbitrary, async schedule => {
		const {exits} = await playSchedule(schedule);
		const firstSignal = Math.min(...schedule.events.filter(({kind}) => kind === 'signal').map(({at}) => at));
		for (const {at, status} of exits) {
			const isForced = schedule.events.some(event => event.kind === 'force' && event.at <= at);
			expect(status === 1 ? isForced : at >= firstSignal + drainTime).toBe(true);
		}
	}), {seed: 51, numRuns: 1000});
});

test('a shutdown whose last step fails ends all the same', async () => {
	const {exits} = await playSchedule({
		events: [{kind: 'signal', at: 0, isLate: false}], settlingTime: 0, refusalTime: 0, isFinishFailing: true,
	});
	expect(exits).toEqual([{
		at: drainTime, status: 0, open: 0, unsettled: 0,
	}]);
});

const gracePeriod: Milliseconds = 4000;
/** The latest exit, from the signal on. */
const lastExitAt: Milliseconds = 3750;

// Guards against: an order of signals, forced stops and cancelled drains in which a process is killed over what it has, or ends twice.
test('a host whose process will be killed exits once and before that, with nothing open, in any order of events', async () => {
	await assert(asyncProperty(scheduleArbitrary, async schedule => {
		const signals = schedule.events.filter(({kind}) => kind === 'signal').map(({at}) => at);
		const {exits} = await playSchedule(schedule, gracePeriod);
		if (signals.length > 0) {
			expect(exits).toMatchObject([{open: 0}]);
			expect(exits[0]!.at).toBeLessThanOrEqual(Math.min(...signals) + lastExitAt);
		}
	}), {seed: 52, numRuns: 1000});
});
