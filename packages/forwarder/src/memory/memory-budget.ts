import type {Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';

/** Bytes of answers that one call holds. */
export type HeldBytes = {
	/** Sets how many bytes the call holds; `release` is called, at once or later, if it has to give them up. */
	hold: (bytes: number, release: () => void) => void;
	/** Ends: the call holds nothing any more. */
	end: () => void;
};

/**
 * Limit on the bytes of answers that all calls of a host hold together: those that are being received, and those that
 * callers haven't read. Beyond it, the call that holds most gives its bytes up, so that an answer of a usual size isn't
 * lost beside answers without end.
 */
export type MemoryBudget = {
	/** Opens the account of a call. */
	open: (callerRequestId: string | undefined) => HeldBytes;
	/** Returns the number of bytes that are held. */
	getHeldBytes: () => number;
};

/** Dependencies of `createMemoryBudget`. */
export type MemoryBudgetOptions = {
	/** Most bytes that may be held. */
	limit: number;
	logger: Logger;
	metrics: Metrics;
};

/** The account of a call. */
type Account = {callerRequestId: string | undefined; bytes: number; release: () => void};

/** Creates a budget of which nothing is held. */
export const createMemoryBudget = ({limit, logger, metrics}: MemoryBudgetOptions): MemoryBudget => {
	const accounts = new Set<Account>();
	let heldBytes = 0;

	const setBytes = (account: Account, bytes: number): void => {
		heldBytes += bytes - account.bytes;
		account.bytes = bytes;
	};

	const isExceeded = (): boolean => heldBytes > limit;

	/** Returns the account with the most bytes. */
	const findLargest = (): Account | undefined => {
		let largest: Account | undefined;
		for (const account of accounts) {
			if (account.bytes > (largest?.bytes ?? 0)) {
				largest = account;
			}
		}

		return largest;
	};

	const releaseLargest = (): void => {
		const account = findLargest();
		if (account === undefined) {
			return;
		}

		metrics.count('answers_released_total');
		logger.warn('answer-released', {
			request: account.callerRequestId, bytes: account.bytes, held: heldBytes, limit,
		});
		setBytes(account, 0);
		account.release();
	};

	const releaseBeyondLimit = (): void => {
		while (isExceeded()) {
			releaseLargest();
		}
	};

	return {
		open(callerRequestId) {
			const account: Account = {callerRequestId, bytes: 0, release: () => undefined};
			return {
				hold(bytes, release) {
					accounts.add(account);
					account.release = release;
					setBytes(account, bytes);
					releaseBeyondLimit();
				},
				end() {
					setBytes(account, 0);
					accounts.delete(account);
				},
			};
		},
		getHeldBytes: () => heldBytes,
	};
};

/** Account of a call that is held by no budget. */
export const unlimitedBytes: HeldBytes = {hold: () => undefined, end: () => undefined};
