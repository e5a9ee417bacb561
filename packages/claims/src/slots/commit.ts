import type {Clock, Random} from '@gentianlift/clock';
import type {
	HostId, Incarnation, Milliseconds, WriteOutcome,
} from '@gentianlift/types';
import {applyBatch, type Answer, type Operation} from './batch.js';
import type {ClaimLimits} from './limits.js';
import type {SlotCalls} from './slot-calls.js';
import {createSlotState, type SlotState} from './slot-state.js';
import {getBucketEnd, type Slot} from './slot.js';

/** How an operation ended: `undetermined` if its claim may be stored even so. */
export type OperationOutcome
	= | {kind: 'answered'; answer: Answer}
		| {kind: 'failed'; reason: string; undetermined: boolean};

/** An operation that waits for its answer. */
export type Waiting = {
	operation: Operation;
	deadline: Milliseconds;
	/** Whether a write with the operation was sent that took effect or still may. */
	undetermined: boolean;
	resolve: (outcome: OperationOutcome) => void;
};

/** A slot's state as last seen in the service; `isFresh` if seen during the present commit. */
export type KnownState = {state: SlotState; revision: number; isFresh: boolean};

/** A slot as a host sees it. */
export type SlotView = {
	slot: Slot;
	known?: KnownState | undefined;
	lastWriteAt: Milliseconds;
	/** True until the host has made a call for the slot. */
	isUntouched: boolean;
};

/** What a commit needs. */
export type CommitOptions = {
	clock: Clock;
	random: Random;
	calls: SlotCalls;
	limits: ClaimLimits;
	isGone: (host: HostId, incarnation: Incarnation) => boolean;
	/** Creates the unique text of a write. */
	createToken: () => string;
};

const backoff = {first: 10, longest: 200};
const longestExponent = 8;
const closedReason = 'the floor could not be read';

const getBackoff = (round: number, random: Random): Milliseconds =>
	Math.min(backoff.longest, backoff.first * (2 ** Math.min(round, longestExponent))) * (0.5 + random.next());

const getClosedAnswer = (operation: Operation): Answer => operation.kind === 'claim'
	? {kind: 'claim', decision: {kind: 'expired'}}
	: {kind: 'settle', outcome: {stored: false}};

/** Fails what has waited too long and returns the others. */
const expire = (waiting: readonly Waiting[], now: Milliseconds, reason: string): Waiting[] => {
	for (const {deadline, resolve, undetermined} of waiting) {
		if (deadline <= now) {
			resolve({kind: 'failed', reason, undetermined});
		}
	}

	return waiting.filter(({deadline}) => deadline > now);
};

const answerAll = (waiting: readonly Waiting[], getAnswer: (item: Waiting, index: number) => Answer | undefined): void => {
	for (const [index, item] of waiting.entries()) {
		const answer = getAnswer(item, index);
		if (answer !== undefined) {
			item.resolve({kind: 'answered', answer});
		}
	}
};

/** Keeps what a write's outcome tells about the slot, and returns why the batch has to be applied again. */
const applyWriteOutcome = (view: SlotView, state: SlotState, outcome: WriteOutcome, waiting: readonly Waiting[]): string => {
	switch (outcome.kind) {
		case 'applied': {
			view.known = {state, revision: outcome.revision, isFresh: true};
			break;
		}

		case 'rejected': {
			view.known = undefined;
			return 'another host wrote the slot';
		}

		case 'unavailable': {
			return outcome.reason;
		}

		case 'unknown': {
			// The write may land later. The next round reads the slot and writes with another token, from the same revision if
			// nothing has changed: once a write from that revision is applied, the lost one can't be.
			view.known = undefined;
			break;
		}
	}

	for (const item of waiting) {
		item.undetermined = true;
	}

	return outcome.kind === 'unknown' ? outcome.reason : '';
};

/** Creates the function that brings a batch of operations into a slot. */
export const createCommit = ({clock, random, calls, limits, isGone, createToken}: CommitOptions) => {
	/** The value of a bucket that has just begun is most likely absent: writing it at once saves a read, and is rejected otherwise. */
	const isLikelyAbsent = ({slot, isUntouched}: SlotView): boolean =>
		isUntouched && slot.kind === 'timed' && getBucketEnd(slot.bucket, limits) + limits.bucketDuration > clock.now();

	const load = async (view: SlotView): Promise<string> => {
		if (isLikelyAbsent(view)) {
			view.isUntouched = false;
			view.known = {state: createSlotState(), revision: 0, isFresh: false};
			return '';
		}

		view.isUntouched = false;
		const outcome = await calls.read(view.slot);
		if (outcome.kind === 'unavailable') {
			return outcome.reason;
		}

		view.known = {state: outcome.state, revision: outcome.revision, isFresh: true};
		return '';
	};

	/** Answers from a state that the service holds, once claims in the slot may start. */
	const finish = async (view: SlotView, known: KnownState, waiting: readonly Waiting[], answers: Answer[]): Promise<string> => {
		if (!known.state.checked && view.slot.kind === 'timed') {
			const floor = await calls.readFloor();
			if (floor.kind === 'unavailable') {
				return closedReason;
			}

			if (floor.before > view.slot.bucket) {
				view.known = undefined;
				answerAll(waiting, ({operation}) => getClosedAnswer(operation));
				await calls.remove(view.slot, known.revision);
				return '';
			}

			known.state.checked = true;
		}

		answerAll(waiting, (item, index) => answers[index]);
		return '';
	};

	const write = async (view: SlotView, known: KnownState, state: SlotState, waiting: readonly Waiting[]): Promise<string> => {
		state.token = createToken();
		view.lastWriteAt = clock.monotonic();
		const outcome = await calls.write(view.slot, state, known.revision);
		return applyWriteOutcome(view, state, outcome, waiting);
	};

	/** Takes one step; returns whether the batch is answered, and otherwise why not yet. */
	const step = async (view: SlotView, waiting: readonly Waiting[]): Promise<{isDone: boolean; reason: string}> => {
		const {known} = view;
		if (known === undefined) {
			return {isDone: false, reason: await load(view)};
		}

		const batch = applyBatch(known.state, waiting.map(({operation}) => operation), {now: clock.now(), limits, isGone});
		if (batch.isChanged) {
			return {isDone: false, reason: await write(view, known, batch.state, waiting)};
		}

		if (!known.isFresh && !batch.isFinal) {
			view.known = undefined;
			return {isDone: false, reason: ''};
		}

		const reason = await finish(view, known, waiting, batch.answers);
		return {isDone: reason === '', reason};
	};

	return async (view: SlotView, batch: readonly Waiting[]): Promise<void> => {
		if (view.known !== undefined) {
			view.known.isFresh = false;
		}

		let waiting = [...batch];
		let reason = 'timeout';
		for (let round = 0; waiting.length > 0;) {
			// eslint-disable-next-line no-await-in-loop -- Each step rests on the one before.
			const result = await step(view, waiting);
			if (result.isDone) {
				return;
			}

			if (result.reason !== '') {
				reason = result.reason;
				// eslint-disable-next-line no-await-in-loop -- The service is given time before the next call.
				await clock.sleep(getBackoff(round, random));
				round++;
			}

			waiting = expire(waiting, clock.monotonic(), reason);
		}
	};
};
