/** Key of the newest accepted configuration version in the key-value service. */
export const currentVersionKey = 'configuration/current';

/** Returns the key under which the history keeps an accepted version. */
export const getHistoryKey = (version: number): string => `configuration/history/${version}`;
