/** Returns the path of a request's target. */
export const getPath = (target: string | undefined): string => (target ?? '').split('?', 1)[0] ?? '';

/** Returns the query of a request's target. */
export const getQuery = (target: string | undefined): URLSearchParams => new URLSearchParams((target ?? '').split('?')[1] ?? '');
