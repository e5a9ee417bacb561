import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Milliseconds} from '@gentianlift/types';

/** What a graceful shutdown works with. */
export type StopOptions = {
	clock: Clock;
	logger: Logger;
	/** Time until the process is killed. */
	gracePeriod: Milliseconds;
	/** Longest time for which callers go on using an address that they were given. */
	addressTtl: Milliseconds;
	/** Number of requests without a final answer. */
	countOpenRequests: () => number;
	/** Tells the other hosts and the key-value service. */
	announce: () => Promise<void>;
	/** Gives back what the host holds. */
	release: () => Promise<void>;
};

/** Time kept back from the grace for giving back what the host holds. */
const releaseMargin: Milliseconds = 300;
const checkInterval: Milliseconds = 50;

/** Time after the signal in which callers may not have noticed it, and each request is taken. */
const noticePeriod: Milliseconds = 2500;

/**
 * Tells whether a host that was told to stop `elapsed` ago takes a request. Callers that come late are better off
 * at another host than with an answer that is cut when the process is killed.
 */
export const canAcceptRequest = (elapsed: Milliseconds, grace: Milliseconds, timeout: Milliseconds): boolean =>
	elapsed <= noticePeriod || timeout <= grace - releaseMargin - elapsed;

/** Serves until callers have stopped to come and all requests are answered, then releases what the host holds. */
export const stopHost = async ({
	clock, logger, gracePeriod: grace, addressTtl: addressLife, countOpenRequests: countOpen, announce, release,
}: StopOptions): Promise<void> => {
	const startedAt = clock.monotonic();
	const getElapsed = (): Milliseconds => clock.monotonic() - startedAt;
	logger.info('stopping', {open: countOpen(), grace});
	const announcement = announce();
	const maxServingTime = grace - releaseMargin;
	const minServingTime = Math.min(addressLife, maxServingTime);
	while (getElapsed() < minServingTime || (countOpen() > 0 && getElapsed() < maxServingTime)) {
		// eslint-disable-next-line no-await-in-loop -- Waits for time to pass.
		await clock.sleep(checkInterval);
	}

	await Promise.race([announcement, clock.sleep(releaseMargin)]);
	await Promise.race([release(), clock.sleep(releaseMargin)]);
	logger.info('stopped', {open: countOpen(), after: Math.round(getElapsed())});
};
