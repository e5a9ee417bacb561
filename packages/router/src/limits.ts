import type {ErrorKind} from '@gentianlift/errors';
import {
	getConcurrencyLimit, getRequestLimit, getTokenLimit, type QuotaClient, type RetryBudgets,
} from '@gentianlift/scheduler';
import type {
	ClassifiedRequest, Configuration, Customer, Milliseconds,
} from '@gentianlift/types';

/** Answer of the limits to a request. */
export type LimitDecision
	= | {kind: 'taken'; release: (tokens: number) => void}
		| {kind: 'refused'; error: Extract<ErrorKind, 'customer-rate' | 'customer-tokens' | 'customer-concurrency'>; retryAfter: Milliseconds};

/** Limits that hold over all hosts. */
export type Limits = {
	/** Takes a request into account; `release` tells its end and the tokens that it used. */
	acquire: (customer: Customer, request: ClassifiedRequest) => Promise<LimitDecision>;
	/** Takes one retry of a class's budget; false if none is left. */
	acquireRetry: (request: ClassifiedRequest) => boolean;
};

/** What the limits are made of. */
export type LimitsOptions = {
	quota: QuotaClient;
	budgets: RetryBudgets;
	getConfiguration: () => Configuration | undefined;
};

const getErrorKind = (limit: string): Extract<LimitDecision, {kind: 'refused'}>['error'] => {
	if (limit.startsWith('tokens:')) {
		return 'customer-tokens';
	}

	return limit.startsWith('requests:') ? 'customer-rate' : 'customer-concurrency';
};

/** Creates the limits of customers and the retry budgets of classes. Tokens are counted when they are known, so a customer may overrun its rate by the answers under way. */
export const createLimits = ({quota, budgets, getConfiguration}: LimitsOptions): Limits => ({
	async acquire(customer, request) {
		const requests = getRequestLimit(customer.id);
		const concurrency = getConcurrencyLimit(customer.id);
		const tokens = getTokenLimit(customer.id);
		const decision = await quota.acquire([
			{limit: requests, amount: 1},
			{limit: concurrency, amount: 1},
			{limit: tokens, amount: 0},
		]);
		if (decision.kind === 'refused') {
			return {kind: 'refused', error: getErrorKind(decision.limit), retryAfter: decision.retryAfter};
		}

		const requestClass = getConfiguration()?.rules.classes.find(({name}) => name === request.className);
		budgets.applyRequest(request.className, requestClass?.retryShare ?? 0);
		return {
			kind: 'taken',
			release(usedTokens) {
				quota.release(concurrency, 1);
				quota.use(tokens, usedTokens);
			},
		};
	},
	acquireRetry: ({className}) => budgets.takeRetry(className),
});
