import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Milliseconds} from '@gentianlift/types';

/** What a graceful shutdown works with. */
export type HostStop = {
	clock: Clock;
	logger: Logger;
	/** Time until the process is killed. */
	grace: Milliseconds;
	/** Longest time for which callers go on using an address that they were given. */
	addressLife: Milliseconds;
	/** Number of requests without a final answer. */
	countOpen: () => number;
	/** Tells the other hosts and the key-value service. */
	announce: () => Promise<void>;
	/** Gives back what the host holds. */
	release: () => Promise<void>;
};

/** Time kept back from the grace for giving back what the host holds. */
const releaseTime: Milliseconds = 300;
const checkInterval: Milliseconds = 50;

/** Time after the signal in which callers may not have noticed it, and each request is taken. */
const noticeTime: Milliseconds = 2500;

/**
 * Tells whether a host that was told to stop `elapsed` ago takes a request. Callers that come late are better off
 * at another host than with an answer that is cut when the process is killed.
 */
export const mayTakeRequest = (elapsed: Milliseconds, grace: Milliseconds, timeout: Milliseconds): boolean =>
	elapsed <= noticeTime || timeout <= grace - releaseTime - elapsed;

/** Serves until callers have stopped to come and all requests are answered, then releases what the host holds. */
export const stopHost = async ({
	clock, logger, grace, addressLife, countOpen, announce, release,
}: HostStop): Promise<void> => {
	const startedAt = clock.monotonic();
	const getElapsed = (): Milliseconds => clock.monotonic() - startedAt;
	logger.info('stopping', {open: countOpen(), grace});
	const announced = announce();
	const latest = grace - releaseTime;
	const quiet = Math.min(addressLife, latest);
	while (getElapsed() < quiet || (countOpen() > 0 && getElapsed() < latest)) {
		// eslint-disable-next-line no-await-in-loop -- Waits for time to pass.
		await clock.sleep(checkInterval);
	}

	await Promise.race([announced, clock.sleep(releaseTime)]);
	await Promise.race([release(), clock.sleep(releaseTime)]);
	logger.info('stopped', {open: countOpen(), after: Math.round(getElapsed())});
};
