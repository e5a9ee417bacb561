import type {Configuration, CustomerId} from '@gentianlift/types';

/** A limit that all hosts share: a rate per second, or a level, which bounds how much is in use at one time. */
export type Limit = {name: string; kind: 'rate' | 'level'; amount: number};

/** Returns the name of a customer's limit of requests per second. */
export const getRequestLimit = (customer: CustomerId): string => `requests:${customer}`;

/** Returns the name of a customer's limit of tokens per second. */
export const getTokenLimit = (customer: CustomerId): string => `tokens:${customer}`;

/** Returns the name of a customer's limit of concurrent requests. */
export const getConcurrencyLimit = (customer: CustomerId): string => `concurrency:${customer}`;

/** Returns the limits of all customers, by name. */
export const getLimits = ({inventory}: Configuration): Map<string, Limit> => {
	const limits = inventory.customers.flatMap(({id, limits: {requestsPerSecond, tokensPerSecond, concurrency}}): Limit[] => [
		{name: getRequestLimit(id), kind: 'rate', amount: requestsPerSecond},
		{name: getTokenLimit(id), kind: 'rate', amount: tokensPerSecond},
		{name: getConcurrencyLimit(id), kind: 'level', amount: concurrency},
	]);
	return new Map(limits.map(limit => [limit.name, limit]));
};

/** Returns the key whose owner allocates a limit; all limits of a customer have the same key. */
export const getQuotaKey = (limit: string): string => `quota:${limit.slice(limit.indexOf(':') + 1)}`;
