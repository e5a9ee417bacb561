import type {ClassName} from '@gentianlift/types';

/** Retries that a host saves up at most for a class. */
const mostSaved = 10;
/** Retries of a class that a host may make before it has had requests of it. */
const firstRetries = 1;

/**
 * Retry budgets by class. Each request adds the class's share of a retry, each retry takes one.
 * As every host keeps to the share of its own requests, all hosts together keep to the share of all,
 * beyond it at most `firstRetries` for each host; no message is needed.
 */
export type RetryBudgets = {
	/** Counts a new request of a class. */
	applyRequest: (className: ClassName, retryShare: number) => void;
	/** Whether a retry is left. */
	hasRetry: (className: ClassName) => boolean;
	/** Takes a retry; false when none is left. */
	takeRetry: (className: ClassName) => boolean;
};

/** Creates full budgets. */
export const createRetryBudgets = (): RetryBudgets => {
	const saved = new Map<ClassName, number>();
	const getSaved = (className: ClassName): number => saved.get(className) ?? firstRetries;
	const hasRetry = (className: ClassName): boolean => getSaved(className) >= 1;
	return {
		applyRequest(className, retryShare) {
			saved.set(className, Math.min(mostSaved, getSaved(className) + retryShare));
		},
		hasRetry,
		takeRetry(className) {
			if (!hasRetry(className)) {
				return false;
			}

			saved.set(className, getSaved(className) - 1);
			return true;
		},
	};
};
