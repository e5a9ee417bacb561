import type {ErrorKind} from '@gentianlift/errors';
import {
	getConcurrencyLimitName, getRequestLimitName, getTokenLimitName, type QuotaClient, type RetryBudgets,
} from '@gentianlift/scheduler';
import type {
	ClassifiedRequest, Configuration, Customer, Milliseconds,
} from '@gentianlift/types';

/** Decision on a request by its customer's limits. */
export type LimitDecision
	= | {kind: 'taken'; release: (tokens: number) => void}
		| {kind: 'refused'; error: Extract<ErrorKind, 'customer-rate' | 'customer-tokens' | 'customer-concurrency'>; retryAfter: Milliseconds};

/** Limits of customers, shared by all hosts, and retry budgets of classes. */
export type Limits = {
	/** Acquires the limits for a request; `release` records its end and the tokens that it used. */
	acquire: (customer: Customer, request: ClassifiedRequest) => Promise<LimitDecision>;
	/** Acquires one retry from the budget of the request's class; false if the budget is exhausted. */
	acquireRetry: (request: ClassifiedRequest) => boolean;
};

/** Dependencies of the limits. */
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

/** Creates the limits of customers and the retry budgets of classes. Tokens are counted when a request ends, so a customer may exceed its token rate by the responses in flight. */
export const createLimits = ({quota, budgets, getConfiguration}: LimitsOptions): Limits => ({
	async acquire(customer, request) {
		const requests = getRequestLimitName(customer.id);
		const concurrency = getConcurrencyLimitName(customer.id);
		const tokens = getTokenLimitName(customer.id);
		const decision = await quota.acquire([
			{limit: requests, amount: 1},
			{limit: concurrency, amount: 1},
			{limit: tokens, amount: 0},
		]);
		if (decision.kind === 'refused') {
			return {kind: 'refused', error: getErrorKind(decision.limit), retryAfter: decision.retryAfter};
		}

		const requestClass = getConfiguration()?.rules.classes.find(({name}) => name === request.className);
		budgets.recordRequest(request.className, requestClass?.retryShare ?? 0);
		return {
			kind: 'taken',
			release(usedTokens) {
				quota.release(concurrency, 1);
				quota.recordUse(tokens, usedTokens);
			},
		};
	},
	acquireRetry: ({className}) => budgets.takeRetry(className),
});
