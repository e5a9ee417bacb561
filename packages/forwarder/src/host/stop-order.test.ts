import {createManualClock} from '@gentianlift/clock';
import {createSilentLogger} from '@gentianlift/logger';
import type {Milliseconds} from '@gentianlift/types';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createStopHandler} from '../process/stop-process.js';
import {canAcceptRequest, stopHost} from './stop-host.js';

const gracePeriod: Milliseconds = 8000;
const shortGracePeriod: Milliseconds = 3000;
/** Time that a process has to answer what is open if its grace period is shortened to one that is almost over. */
const shortenedEndTime: Milliseconds = 300;
/** Time until the answer of a refused request is written. */
const refusalTime: Milliseconds = 20;
const seed = 50;

/** What happens to a host, at times from 0 on. */
type HostEvent
	= | {kind: 'signal'; at: Milliseconds}
		| {kind: 'request'; at: Milliseconds; duration: Milliseconds}
		| {kind: 'shortened-grace'; at: Milliseconds};

/** How long the steps of an end take; undefined if one never ends. */
type StepDurations = {announce: Milliseconds | undefined; release: Milliseconds | undefined; flush: Milliseconds | undefined};

/** How a request ended; `reset` is one that was being refused as the process ended. */
type RequestEnd = 'open' | 'refusing' | 'answered' | 'cut' | 'reset' | 'unread';

/** Times at which requests come, most of them around the end of a host without other requests. */
const time = fc.oneof({weight: 1, arbitrary: fc.integer({min: 0, max: 10_000})}, {weight: 4, arbitrary: fc.integer({min: 2900, max: 4200})});
const requestDuration = fc.oneof({weight: 9, arbitrary: fc.integer({min: 1, max: 60})}, {weight: 1, arbitrary: fc.integer({min: 1, max: 9000})});
const hostEvent = fc.oneof(
	{weight: 1, arbitrary: fc.record({kind: fc.constant('signal' as const), at: fc.integer({min: 0, max: 1000})})},
	{weight: 20, arbitrary: fc.record({kind: fc.constant('request' as const), at: time, duration: requestDuration})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('shortened-grace' as const), at: time})},
);
const stepDuration = fc.option(fc.integer({min: 0, max: 300}), {nil: undefined});
const stepDurations = fc.record({announce: stepDuration, release: stepDuration, flush: stepDuration});

const hang = async (): Promise<void> => new Promise(() => {
	// Never resolves.
});

/** Plays events in order against the end of a process, with a host that counts its requests; returns how each request ended, and when the process did. */
const play = async (events: readonly HostEvent[], steps: StepDurations): Promise<{ends: RequestEnd[]; exitedAt: Milliseconds | undefined; exitLimit: Milliseconds | undefined}> => {
	const clock = createManualClock();
	const ends: RequestEnd[] = [];
	const state = {
		gracePeriod, shortenedAt: Number.NEGATIVE_INFINITY, isAdmitting: true, exitedAt: undefined as Milliseconds | undefined, stoppedAt: undefined as Milliseconds | undefined,
	};
	const countOpenRequests = (): number => ends.filter(end => end === 'open' || end === 'refusing').length;
	const endAll = (from: RequestEnd, to: RequestEnd): void => {
		for (const [index, current] of ends.entries()) {
			ends[index] = current === from ? to : current;
		}
	};

	const take = async (duration: Milliseconds | undefined): Promise<void> => {
		await (duration === undefined ? hang() : clock.sleep(duration));
	};

	const exit = (): void => {
		state.exitedAt ??= clock.monotonic();
		endAll('open', 'cut');
		endAll('refusing', 'reset');
	};

	const stop = async (): Promise<void> => stopHost({
		clock,
		logger: createSilentLogger(),
		getGracePeriod: () => state.gracePeriod,
		maxAddressUse: 3000,
		countOpenRequests,
		announce: async () => take(steps.announce),
		release: async () => take(steps.release),
		endAdmission() {
			state.isAdmitting = false;
		},
		answerRequests() {
			endAll('open', 'answered');
		},
		cutRequests() {
			endAll('open', 'cut');
		},
		getTimeSinceRequest: () => undefined,
		reportOpenCalls: () => undefined,
	});
	const handleSignal = createStopHandler({
		clock,
		logger: createSilentLogger(),
		output: {write: () => undefined, flush: async () => take(steps.flush)},
		getGracePeriod: () => state.gracePeriod,
		stop,
		countPendingAnswers: countOpenRequests,
		closeListener: () => undefined,
		reportOpenCalls: () => undefined,
		exit,
		kill: exit,
	});

	const accept = (duration: Milliseconds): void => {
		const index = ends.length;
		const elapsed = state.stoppedAt === undefined ? 0 : clock.monotonic() - state.stoppedAt;
		if (state.exitedAt !== undefined) {
			ends.push('unread');
			return;
		}

		const isAccepted = state.isAdmitting && canAcceptRequest(elapsed, state.gracePeriod, duration);
		const begun = isAccepted ? 'open' : 'refusing';
		ends.push(begun);
		clock.after(isAccepted ? duration : refusalTime, () => {
			ends[index] = ends[index] === begun ? 'answered' : ends[index]!;
		});
	};

	for (const event of events.toSorted((first, second) => first.at - second.at)) {
		// eslint-disable-next-line no-await-in-loop -- Events follow each other.
		await clock.advance(event.at - clock.monotonic());
		switch (event.kind) {
			case 'signal': {
				state.stoppedAt ??= clock.monotonic();
				handleSignal('SIGTERM');
				break;
			}

			case 'request': {
				accept(event.duration);
				break;
			}

			case 'shortened-grace': {
				state.gracePeriod = shortGracePeriod;
				state.shortenedAt = clock.monotonic();
				break;
			}
		}
	}

	await clock.advance(2 * gracePeriod);
	const exitLimit = state.stoppedAt === undefined ? undefined : Math.max(state.stoppedAt + state.gracePeriod, state.shortenedAt + shortenedEndTime);
	return {ends, exitedAt: state.exitedAt, exitLimit};
};

// Guards against: an order of signals, requests, answers, reloads and slow steps in which a process ends over a request that it has accepted.
test('no order of events cuts a request that was accepted, and a process that is told to stop ends in time', async () => {
	await fc.assert(fc.asyncProperty(fc.array(hostEvent, {minLength: 1, maxLength: 100}), stepDurations, async (events, steps) => {
		const {ends, exitedAt, exitLimit} = await play(events, steps);
		expect(ends).not.toContain('cut');
		expect(ends).not.toContain('open');
		if (!events.some(({kind}) => kind === 'shortened-grace')) {
			expect(ends).not.toContain('reset');
		}

		expect(exitedAt === undefined).toBe(exitLimit === undefined);
		expect(exitedAt ?? 0).toBeLessThanOrEqual(exitLimit ?? 0);
	}), {seed, numRuns: 300, endOnFailure: true});
});
