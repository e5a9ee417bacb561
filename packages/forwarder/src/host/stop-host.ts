import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Milliseconds} from '@gentianlift/types';

/** Options of a graceful shutdown. */
export type StopOptions = {
	clock: Clock;
	logger: Logger;
	/** Time from the signal to stop until the process is killed. */
	gracePeriod: Milliseconds;
	/** Longest time for which callers use an address after they were given it, which may exceed its time to live. */
	maxAddressUse: Milliseconds;
	/** Returns the number of requests that are being handled, including attempts that go on after the caller disconnected. */
	countOpenRequests: () => number;
	/** Notifies the other hosts and the key-value service. */
	announce: () => Promise<void>;
	/** Ends the registration of the host. */
	release: () => Promise<void>;
};

/** Part of the grace period that is reserved for the release. Also the longest wait for the announcement, and after that for the release. */
const releaseMargin: Milliseconds = 300;
/** Interval at which the number of open requests is polled. */
const checkInterval: Milliseconds = 50;

/** Time after the signal during which callers may not know of the stop yet, and all requests are accepted. */
const noticePeriod: Milliseconds = 2500;

/**
 * Whether a host that began to stop `elapsed` ago accepts a request that may last for `timeout`. A late caller is better
 * served by another host than with an answer that is cut off when the process is killed.
 */
export const canAcceptRequest = (elapsed: Milliseconds, gracePeriod: Milliseconds, timeout: Milliseconds): boolean =>
	elapsed <= noticePeriod || timeout <= gracePeriod - releaseMargin - elapsed;

/** Serves until callers no longer use the address and all requests are answered, or the grace period is almost over; then releases. */
export const stopHost = async ({
	clock, logger, gracePeriod, maxAddressUse: addressTtl, countOpenRequests, announce, release,
}: StopOptions): Promise<void> => {
	const startedAt = clock.monotonic();
	const getElapsed = (): Milliseconds => clock.monotonic() - startedAt;
	logger.info('stopping', {open: countOpenRequests(), grace: gracePeriod});
	const announcement = announce();
	const maxServingTime = gracePeriod - releaseMargin;
	const minServingTime = Math.min(addressTtl, maxServingTime);
	while (getElapsed() < minServingTime || (countOpenRequests() > 0 && getElapsed() < maxServingTime)) {
		// eslint-disable-next-line no-await-in-loop -- Polls the number of open requests.
		await clock.sleep(checkInterval);
	}

	await Promise.race([announcement, clock.sleep(releaseMargin)]);
	await Promise.race([release(), clock.sleep(releaseMargin)]);
	logger.info('stopped', {open: countOpenRequests(), after: Math.round(getElapsed())});
};
