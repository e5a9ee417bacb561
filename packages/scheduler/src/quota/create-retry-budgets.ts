import type {ClassName} from '@gentianlift/types';

/** Maximum balance of a class's retry budget at one host. */
const maxSavedRetries = 10;
/** Retries of a class that a host may make before it has received requests of the class. */
const initialRetries = 1;

/**
 * Retry budgets by class. Each request adds a fraction of a retry, the class's retry share; each retry takes one.
 * As every host keeps its retries within that fraction of its own requests, so do all hosts together without messages,
 * apart from at most `initialRetries` per host.
 */
export type RetryBudgets = {
	/** Adds a new request of a class to its budget. */
	recordRequest: (className: ClassName, retryShare: number) => void;
	/** Whether the budget of a class allows a retry. */
	hasRetry: (className: ClassName) => boolean;
	/** Takes a retry from the budget of a class; false if it allows none. */
	takeRetry: (className: ClassName) => boolean;
};

/** Creates budgets that hold the initial retries. */
export const createRetryBudgets = (): RetryBudgets => {
	const balances = new Map<ClassName, number>();
	const getBalance = (className: ClassName): number => balances.get(className) ?? initialRetries;
	const hasRetry = (className: ClassName): boolean => getBalance(className) >= 1;
	return {
		recordRequest(className, retryShare) {
			balances.set(className, Math.min(maxSavedRetries, getBalance(className) + retryShare));
		},
		hasRetry,
		takeRetry(className) {
			if (!hasRetry(className)) {
				return false;
			}

			balances.set(className, getBalance(className) - 1);
			return true;
		},
	};
};
