const flushRounds = 50;

/** Lets promise chains run until each of them waits for an event. */
export const flushPromises = async (): Promise<void> => {
	for (let round = 0; round < flushRounds; round++) {
		// eslint-disable-next-line no-await-in-loop -- Each round runs one more step of a promise chain.
		await Promise.resolve();
	}
};
