import type {Milliseconds} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {abortTime, createSimulatedShutdown, maxTime} from '../testing/simulated-shutdown.js';

const gracePeriod: Milliseconds = 4000;
/** When requests are aborted, those that are left are answered, and the process exits. */
const abortAt: Milliseconds = 3000;
const answerAt: Milliseconds = 3500;
const lastExitAt: Milliseconds = 3750;
const noDelays = {
	events: [], settlingTime: 0, refusalTime: 0, isFinishFailing: false,
};

// Guards against: a host goes on waiting for a request until its process is killed, and all that it has ends without an answer.
test('a host whose process will be killed aborts what is open, and answers the rest before that', async () => {
	const {clock, shutdown, counts, exits, receive, isAborted} = createSimulatedShutdown(noDelays, gracePeriod);
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
	const {clock, shutdown, exits, receive} = createSimulatedShutdown({...noDelays, settlingTime: 60_000}, gracePeriod);
	receive(60_000, false);
	shutdown.terminate('SIGTERM');
	await clock.advance(gracePeriod);
	expect(exits).toMatchObject([{at: lastExitAt, status: 1}]);
	await clock.advance(maxTime);
	expect(exits).toHaveLength(1);
});

// Guards against: a request that comes after the others were answered, and isn't complete, is cut by the exit.
test('a host whose process will be killed answers what has come since just before it exits', async () => {
	const {clock, shutdown, counts, exits, receive} = createSimulatedShutdown({...noDelays, refusalTime: 60_000}, gracePeriod);
	receive(60_000, false);
	shutdown.terminate('SIGTERM');
	await clock.advance(answerAt - 1);
	clock.after(10, () => {
		receive(60_000, true);
	});
	await clock.advance(gracePeriod);
	expect(counts.answered).toBe(2);
	expect(exits).toMatchObject([{at: lastExitAt}]);
});

test('a host whose process will be killed stops to accept requests in the first part of that time', async () => {
	const {clock, shutdown, counts, receive} = createSimulatedShutdown(noDelays, gracePeriod);
	receive(60_000, true);
	shutdown.terminate('SIGTERM');
	await clock.advance(abortAt / 3);
	receive(10, true);
	expect(counts).toMatchObject({accepted: 1, refused: 1});
});

// Guards against: callers that still use the address of a host whose drain is cut short get their connections reset, and can't tell whether a booking ran.
test('a host whose process will be killed refuses requests on new connections until it ends', async () => {
	const {clock, shutdown, counts, receive} = createSimulatedShutdown({...noDelays, settlingTime: 200}, gracePeriod);
	receive(2000, true);
	shutdown.terminate('SIGTERM');
	await clock.advance(2000);
	expect([shutdown.getState().kind, counts.listenerCloses]).toEqual(['stopping', 0]);
	await clock.advance(gracePeriod);
	expect(counts).toMatchObject({listenerCloses: 1, listenerClosedAt: 2200});
});

test('a host without open requests exits with status 0 within its grace period', async () => {
	const {clock, shutdown, exits, isAborted} = createSimulatedShutdown(noDelays, gracePeriod);
	shutdown.terminate('SIGTERM');
	await clock.advance(gracePeriod);
	expect(exits).toMatchObject([{at: abortAt / 3, status: 0}]);
	expect(isAborted()).toBe(false);
});

test('the grace period begins with the first signal, after a drain by an operator, too, which it makes final', async () => {
	const {clock, shutdown, exits, receive} = createSimulatedShutdown(noDelays, gracePeriod);
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
	const {clock, shutdown, exits, receive, isAborted} = createSimulatedShutdown(noDelays);
	receive(maxTime - 1000, true);
	shutdown.terminate('SIGTERM');
	await clock.advance(maxTime - 1001);
	expect([exits.length, isAborted()]).toEqual([0, false]);
	await clock.advance(1001);
	expect(exits).toMatchObject([{status: 0}]);
});
