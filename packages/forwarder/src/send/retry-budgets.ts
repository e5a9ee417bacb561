import {createRetryBudget, type RetryBudget} from '@gentianlift/routing';
import type {Call, Progress} from '../call.js';
import type {ForwarderContext} from '../context.js';

/** This host's parts of the retry budgets, one for each service. */
export type RetryBudgets = {
	/** Records a request of a caller, which adds to the budget. */
	addRequest: (service: string) => void;
	/** Takes one retry from the budget; returns false if none is left. */
	take: (service: string) => boolean;
	/** Gives back a retry that was taken and not used. */
	restore: (service: string) => void;
};

/** Takes the next attempt of a call from the retry budget unless it is granted already; returns whether it is granted. */
export const grantRetry = ({service}: Call, progress: Progress, retries: RetryBudgets): boolean => {
	progress.isRetryGranted ||= retries.take(service);
	return progress.isRetryGranted;
};

/** Gives the retry of a call that has ended back to the budget if it was granted and not used. */
export const restoreUnusedRetry = ({service}: Call, progress: Progress, retries: RetryBudgets): void => {
	if (progress.isRetryGranted) {
		progress.isRetryGranted = false;
		retries.restore(service);
	}
};

/** Creates budgets to which no request has added. */
export const createRetryBudgets = ({clock, retryLimit, countHosts}: Pick<ForwarderContext, 'clock' | 'retryLimit' | 'countHosts'>): RetryBudgets => {
	const budgets = new Map<string, RetryBudget>();

	const getBudget = (service: string): RetryBudget => {
		const existing = budgets.get(service);
		if (existing !== undefined) {
			return existing;
		}

		const budget = createRetryBudget(retryLimit);
		budgets.set(service, budget);
		return budget;
	};

	return {
		addRequest(service) {
			getBudget(service).addRequest(clock.monotonic());
		},
		take: service => getBudget(service).take(clock.monotonic(), countHosts()),
		restore(service) {
			getBudget(service).restore();
		},
	};
};
