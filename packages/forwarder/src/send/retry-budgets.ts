import {createRetryBudget, type RetryBudget} from '@gentianlift/routing';
import type {ForwarderContext} from '../context.js';

/** This host's parts of the retry budgets, one for each service. */
export type RetryBudgets = {
	/** Records a request of a caller, which adds to the budget. */
	addRequest: (service: string) => void;
	/** Takes one retry from the budget; returns false if none is left. */
	take: (service: string) => boolean;
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
	};
};
