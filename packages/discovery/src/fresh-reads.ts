/** Creates a function that returns the result of a read which begins only once it is asked for; those who ask during a read share the next one. */
export const createFreshReads = <Result>(read: () => Promise<Result>): (() => Promise<Result>) => {
	let running: Promise<Result> | undefined;
	let next: Promise<Result> | undefined;

	const start = async (): Promise<Result> => {
		next = undefined;
		running = read();
		try {
			return await running;
		} finally {
			running = undefined;
		}
	};

	return async () => {
		if (running === undefined) {
			return start();
		}

		next ??= running.then(start, start);
		return next;
	};
};
