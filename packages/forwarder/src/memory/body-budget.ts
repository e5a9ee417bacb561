import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';
import type {Milliseconds} from '@gentianlift/types';
import type {HeldBytes} from './memory-budget.js';
import type {ResidentMemory} from './resident-memory.js';

/** Bytes that the body of one request holds, or may hold by its declared length. */
export type HeldBody = HeldBytes & {
	/** Marks the body as whole, of `bytes` bytes: from now on it is never given up. */
	keep: (bytes: number) => void;
};

/** A request whose body is about to be received. */
export type ExpectedBody = {
	callerRequestId: string | undefined;
	/** Declared length in bytes; 0 if it isn't declared. */
	bytes: number;
};

/**
 * Limit on the bytes of request bodies that a host holds: those being received, by their declared lengths, and whole ones
 * whose calls are queued or run. A body for which there is no room is refused; a whole one is never given up. What gives
 * way to others is the body that has been unfinished for longest.
 */
export type BodyBudget = {
	/** Reserves room for a body; returns undefined if there is none. */
	open: (expected: ExpectedBody) => HeldBody | undefined;
	/** Returns the number of bytes that are held or reserved. */
	getHeldBytes: () => number;
	/** Returns the number of bodies that are being received. */
	countUnfinished: () => number;
};

/** Dependencies of `createBodyBudget`. */
export type BodyBudgetOptions = {
	/** Most bytes that may be held. */
	limit: number;
	residentMemory: ResidentMemory;
	clock: Clock;
	logger: Logger;
	metrics: Metrics;
};

/** Why there is no room for a body: its bytes, the memory of the process, or the number of unfinished ones. */
export type Shortage = 'bytes' | 'memory' | 'unfinished';

/** The account of a body. */
type Account = ExpectedBody & {openedAt: Milliseconds; release: () => void; isClosed: boolean};

/** Largest body of a usual size; larger ones leave a part of the limit to those. */
const usualBodyBytes = 64 * 1024;
/** Part of the limit that larger bodies may fill. */
const largePart = 3 / 4;
/** Most bodies that are received at a time. */
const maxUnfinished = 1500;
/** Time that a body may take to arrive before it gives way to a large one, so that large ones which come at once don't push each other out. */
const arrivalTime: Milliseconds = 1000;

const isUsual = (bytes: number): boolean => bytes <= usualBodyBytes;

/** Creates a budget of which nothing is held. */
export const createBodyBudget = ({
	limit, residentMemory, clock, logger, metrics,
}: BodyBudgetOptions): BodyBudget => {
	/** Accounts of unfinished bodies, from the oldest. */
	const unfinished = new Set<Account>();
	let heldBytes = 0;
	let wholeBytes = 0;

	const setBytes = (account: Account, bytes: number): void => {
		heldBytes += bytes - account.bytes;
		account.bytes = bytes;
	};

	const close = (account: Account): void => {
		account.isClosed = true;
		unfinished.delete(account);
		setBytes(account, 0);
	};

	const getLimit = (bytes: number): number => isUsual(bytes) ? limit : limit * largePart;

	/** Returns what is short for an account to grow to `bytes`, else undefined. */
	const findShortage = (account: Account, bytes: number): Shortage | undefined => {
		if (heldBytes + bytes - account.bytes > getLimit(bytes)) {
			return 'bytes';
		}

		if (!isUsual(bytes) && residentMemory.isShort()) {
			return 'memory';
		}

		return unfinished.has(account) || unfinished.size < maxUnfinished ? undefined : 'unfinished';
	};

	/** Whether a body would fit beside the whole ones. */
	const mayFit = (bytes: number): boolean => wholeBytes + bytes <= getLimit(bytes);

	/** Returns the oldest unfinished body that gives way to another one of `bytes` bytes. */
	const findYielding = (account: Account, bytes: number, shortage: Shortage): Account | undefined => {
		const [oldest] = unfinished;
		if (oldest === undefined || oldest === account || shortage === 'memory') {
			return undefined;
		}

		const isLate = clock.monotonic() - oldest.openedAt > arrivalTime;
		return isLate || shortage === 'unfinished' || isUsual(bytes) ? oldest : undefined;
	};

	const logRefusal = ({callerRequestId}: Account, reason: Shortage | 'gave-way', bytes: number): void => {
		metrics.count('bodies_refused_total', {reason});
		logger.warn('body-refused', {
			request: callerRequestId, reason, bytes, held: heldBytes, limit, unfinished: unfinished.size,
		});
	};

	const giveUp = (account: Account): void => {
		logRefusal(account, 'gave-way', account.bytes);
		close(account);
		account.release();
	};

	/** Lets an account grow to `bytes`, if need be in place of others; returns whether there was room. */
	const grow = (account: Account, bytes: number): boolean => {
		let shortage = findShortage(account, bytes);
		while (shortage !== undefined) {
			const yielding = mayFit(bytes) ? findYielding(account, bytes, shortage) : undefined;
			if (yielding === undefined) {
				logRefusal(account, shortage, bytes);
				return false;
			}

			giveUp(yielding);
			shortage = findShortage(account, bytes);
		}

		setBytes(account, bytes);
		return true;
	};

	return {
		open(expected) {
			const account: Account = {
				...expected, bytes: 0, openedAt: clock.monotonic(), release: () => undefined, isClosed: false,
			};
			if (!grow(account, expected.bytes)) {
				return undefined;
			}

			unfinished.add(account);
			return {
				hold(bytes, release) {
					account.release = release;
					if (account.isClosed) {
						// The request was refused while its body still arrives.
						release();
						return;
					}

					if (bytes > account.bytes && !grow(account, bytes)) {
						close(account);
						release();
					}
				},
				keep(bytes) {
					if (account.isClosed) {
						return;
					}

					unfinished.delete(account);
					setBytes(account, bytes);
					wholeBytes += bytes;
				},
				end() {
					wholeBytes -= unfinished.has(account) ? 0 : account.bytes;
					close(account);
				},
			};
		},
		getHeldBytes: () => heldBytes,
		countUnfinished: () => unfinished.size,
	};
};

