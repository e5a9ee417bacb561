import type {Configuration, CustomerId} from '@gentianlift/types';

/** How a shared limit is counted: as a rate a second, or as a level of things under way. */
export type Limit = {name: string; kind: 'rate' | 'level'; amount: number};

/** Name of a customer's limit of requests a second. */
export const getRequestLimit = (customer: CustomerId): string => `requests:${customer}`;

/** Name of a customer's limit of tokens a second. */
export const getTokenLimit = (customer: CustomerId): string => `tokens:${customer}`;

/** Name of a customer's limit of requests under way. */
export const getConcurrencyLimit = (customer: CustomerId): string => `concurrency:${customer}`;

/** Gets the limits of all customers by name. */
export const getLimits = ({inventory}: Configuration): Map<string, Limit> => {
	const limits = inventory.customers.flatMap(({id, limits: {requestsPerSecond, tokensPerSecond, concurrency}}): Limit[] => [
		{name: getRequestLimit(id), kind: 'rate', amount: requestsPerSecond},
		{name: getTokenLimit(id), kind: 'rate', amount: tokensPerSecond},
		{name: getConcurrencyLimit(id), kind: 'level', amount: concurrency},
	]);
	return new Map(limits.map(limit => [limit.name, limit]));
};

/** Gets the key whose owner shares a limit out; all limits of a customer have the same. */
export const getLimitKey = (limit: string): string => `quota:${limit.slice(limit.indexOf(':') + 1)}`;
