/** Key of the newest accepted version in the key-value service. */
export const currentKey = 'configuration/current';

/** Gets the key under which an accepted version is kept once a newer one follows. */
export const getHistoryKey = (version: number): string => `configuration/history/${version}`;
