import type {Configuration, CustomerId} from '@gentianlift/types';

/** A limit that all hosts share: a rate per second, or a level, which bounds how much is in use at one time. */
export type QuotaLimit = {name: string; kind: 'rate' | 'level'; amount: number};

/** Returns the name of a customer's limit of requests per second. */
export const getRequestLimitName = (customer: CustomerId): string => `requests:${customer}`;

/** Returns the name of a customer's limit of tokens per second. */
export const getTokenLimitName = (customer: CustomerId): string => `tokens:${customer}`;

/** Returns the name of a customer's limit of concurrent requests. */
export const getConcurrencyLimitName = (customer: CustomerId): string => `concurrency:${customer}`;

/** Returns the limits of all customers, by name. */
export const getLimits = ({inventory}: Configuration): Map<string, QuotaLimit> => {
	const limits = inventory.customers.flatMap(({id, limits: {requestsPerSecond, tokensPerSecond, concurrency}}): QuotaLimit[] => [
		{name: getRequestLimitName(id), kind: 'rate', amount: requestsPerSecond},
		{name: getTokenLimitName(id), kind: 'rate', amount: tokensPerSecond},
		{name: getConcurrencyLimitName(id), kind: 'level', amount: concurrency},
	]);
	return new Map(limits.map(limit => [limit.name, limit]));
};

/** Returns the key whose owner allocates a limit; all limits of a customer have the same key. */
export const getQuotaKey = (limit: string): string => `quota:${limit.slice(limit.indexOf(':') + 1)}`;
