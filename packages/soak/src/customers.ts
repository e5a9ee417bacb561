/** Customers whose keys the callers have by turns. */
export const customers = [{name: 'first', key: 'key-1'}, {name: 'second', key: 'key-2'}] as const;

/** Returns a number that a request always has, from its id. */
export const getRequestNumber = (attempt: string): number => attempt.codePointAt(attempt.length - 1) ?? 0;

/** Returns the key with which a request comes. */
export const getRequestKey = (attempt: string): string => customers[getRequestNumber(attempt) % customers.length]?.key ?? '';
