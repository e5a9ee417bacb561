import type {Clock, Random} from '@gentianlift/clock';
import type {
	HostId, Incarnation, Milliseconds, WriteOutcome,
} from '@gentianlift/types';
import {applyBatch, type OperationAnswer, type Operation} from './batch.js';
import type {ClaimLimits} from './limits.js';
import type {SlotStore} from './slot-store.js';
import {createSlotState, type SlotState} from './slot-state.js';
import {getBucketEnd, type Slot} from './slot.js';

/** Outcome of an operation. A failed one is `undetermined` if its change may be stored nevertheless. */
export type OperationOutcome
	= | {kind: 'answered'; answer: OperationAnswer}
		| {kind: 'failed'; reason: string; undetermined: boolean};

/** An operation that has no answer yet. */
export type PendingOperation = {
	operation: Operation;
	/** Moment on the monotonic clock at which the operation fails. */
	deadline: Milliseconds;
	/** Whether a write that contains the operation was applied or may still be applied. */
	undetermined: boolean;
	resolve: (outcome: OperationOutcome) => void;
};

/** A slot's state as last read or written; `isFresh` if that was during the current commit. */
export type SlotSnapshot = {state: SlotState; revision: number; isFresh: boolean};

/** A host's cached copy of a slot. */
export type CachedSlot = {
	slot: Slot;
	snapshot?: SlotSnapshot | undefined;
	/** Moment on the monotonic clock of the last write by this host. */
	lastWriteAt: Milliseconds;
	/** Whether this host has neither read nor written the slot yet. */
	isUnaccessed: boolean;
};

/** Dependencies of a commit. */
export type CommitOptions = {
	clock: Clock;
	random: Random;
	store: SlotStore;
	limits: ClaimLimits;
	/** Whether the incarnation of a host is known to have ended. */
	isGone: (host: HostId, incarnation: Incarnation) => boolean;
	/** Returns a unique token for a write. */
	createToken: () => string;
};

/** Delays in milliseconds between the retries of a failed call. */
const backoff = {initial: 10, max: 200};
const maxExponent = 8;
const progressUnavailableReason = 'the floor could not be read';

const getBackoff = (retries: number, random: Random): Milliseconds =>
	Math.min(backoff.max, backoff.initial * (2 ** Math.min(retries, maxExponent))) * (0.5 + random.next());

const getClosedBucketAnswer = (operation: Operation): OperationAnswer => operation.kind === 'claim'
	? {kind: 'claim', decision: {kind: 'expired'}}
	: {kind: 'settle', outcome: {stored: false}};

/** Fails the operations whose deadline has passed and returns the others. */
const failExpired = (pending: readonly PendingOperation[], now: Milliseconds, reason: string): PendingOperation[] => {
	for (const {deadline, resolve, undetermined} of pending) {
		if (deadline <= now) {
			resolve({kind: 'failed', reason, undetermined});
		}
	}

	return pending.filter(({deadline}) => deadline > now);
};

const resolveAnswered = (pending: readonly PendingOperation[], getAnswer: (item: PendingOperation, index: number) => OperationAnswer | undefined): void => {
	for (const [index, item] of pending.entries()) {
		const answer = getAnswer(item, index);
		if (answer !== undefined) {
			item.resolve({kind: 'answered', answer});
		}
	}
};

/** Updates the cached slot and the operations from the outcome of a write; returns why the write failed, or an empty text if it was applied. */
const recordWriteOutcome = (cachedSlot: CachedSlot, state: SlotState, outcome: WriteOutcome, pending: readonly PendingOperation[]): string => {
	switch (outcome.kind) {
		case 'applied': {
			cachedSlot.snapshot = {state, revision: outcome.revision, isFresh: true};
			break;
		}

		case 'rejected': {
			cachedSlot.snapshot = undefined;
			return 'another host wrote the slot';
		}

		case 'unavailable': {
			return outcome.reason;
		}

		case 'unknown': {
			// The write may still be applied. The next step reads the slot and writes it with another token, from the same revision
			// if nothing has changed: once one write from that revision is applied, the key-value service rejects the other.
			cachedSlot.snapshot = undefined;
			break;
		}
	}

	for (const item of pending) {
		item.undetermined = true;
	}

	return outcome.kind === 'unknown' ? outcome.reason : '';
};

/**
Creates the function that commits operations to a slot by compare-and-swap and answers them.

After each write the operations are applied again: one is answered only from a state in the key-value service that already contains its change.
*/
export const createCommit = ({clock, random, store, limits, isGone, createToken}: CommitOptions) => {
	/** Whether the slot most likely has no value, as its bucket is recent. Writing it without a read saves a call; if it has a value, the write is rejected. */
	const isLikelyAbsent = ({slot, isUnaccessed}: CachedSlot): boolean =>
		isUnaccessed && slot.kind === 'timed' && getBucketEnd(slot.bucket, limits) + limits.bucketDuration > clock.now();

	const loadState = async (cachedSlot: CachedSlot): Promise<string> => {
		if (isLikelyAbsent(cachedSlot)) {
			cachedSlot.isUnaccessed = false;
			cachedSlot.snapshot = {state: createSlotState(), revision: 0, isFresh: false};
			return '';
		}

		cachedSlot.isUnaccessed = false;
		const outcome = await store.read(cachedSlot.slot);
		if (outcome.kind === 'unavailable') {
			return outcome.reason;
		}

		cachedSlot.snapshot = {state: outcome.state, revision: outcome.revision, isFresh: true};
		return '';
	};

	/** Answers the operations from a state that the key-value service holds, after checking that the slot's bucket isn't closed; returns why that failed, or an empty text. */
	const answerBatch = async (cachedSlot: CachedSlot, snapshot: SlotSnapshot, pending: readonly PendingOperation[], answers: OperationAnswer[]): Promise<string> => {
		if (!snapshot.state.checked && cachedSlot.slot.kind === 'timed') {
			const progress = await store.readRemovalProgress();
			if (progress.kind === 'unavailable') {
				return progressUnavailableReason;
			}

			if (progress.before > cachedSlot.slot.bucket) {
				cachedSlot.snapshot = undefined;
				resolveAnswered(pending, ({operation}) => getClosedBucketAnswer(operation));
				await store.remove(cachedSlot.slot, snapshot.revision);
				return '';
			}

			snapshot.state.checked = true;
		}

		resolveAnswered(pending, (item, index) => answers[index]);
		return '';
	};

	const writeState = async (cachedSlot: CachedSlot, snapshot: SlotSnapshot, state: SlotState, pending: readonly PendingOperation[]): Promise<string> => {
		state.token = createToken();
		cachedSlot.lastWriteAt = clock.monotonic();
		const outcome = await store.write(cachedSlot.slot, state, snapshot.revision);
		return recordWriteOutcome(cachedSlot, state, outcome, pending);
	};

	/** Reads, writes or answers, whichever is next; returns whether the operations are answered, and if not, why a call failed. */
	const runStep = async (cachedSlot: CachedSlot, pending: readonly PendingOperation[]): Promise<{isDone: boolean; reason: string}> => {
		const {snapshot} = cachedSlot;
		if (snapshot === undefined) {
			return {isDone: false, reason: await loadState(cachedSlot)};
		}

		const batch = applyBatch(snapshot.state, pending.map(({operation}) => operation), {now: clock.now(), limits, isGone});
		if (batch.isChanged) {
			return {isDone: false, reason: await writeState(cachedSlot, snapshot, batch.state, pending)};
		}

		if (!snapshot.isFresh && !batch.isFinal) {
			cachedSlot.snapshot = undefined;
			return {isDone: false, reason: ''};
		}

		const reason = await answerBatch(cachedSlot, snapshot, pending, batch.answers);
		return {isDone: reason === '', reason};
	};

	return async (cachedSlot: CachedSlot, batch: readonly PendingOperation[]): Promise<void> => {
		if (cachedSlot.snapshot !== undefined) {
			cachedSlot.snapshot.isFresh = false;
		}

		let pending = [...batch];
		let reason = 'timeout';
		for (let retries = 0; pending.length > 0;) {
			// eslint-disable-next-line no-await-in-loop -- Each step depends on the one before.
			const result = await runStep(cachedSlot, pending);
			if (result.isDone) {
				return;
			}

			if (result.reason !== '') {
				reason = result.reason;
				// eslint-disable-next-line no-await-in-loop -- Retries back off.
				await clock.sleep(getBackoff(retries, random));
				retries++;
			}

			pending = failExpired(pending, clock.monotonic(), reason);
		}
	};
};
