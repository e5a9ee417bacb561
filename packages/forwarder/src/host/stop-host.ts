import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Milliseconds} from '@gentianlift/types';

/** Options of a graceful shutdown. */
export type StopOptions = {
	clock: Clock;
	logger: Logger;
	/** Returns the time from the signal to stop until the process is killed; a reload may shorten it. */
	getGracePeriod: () => Milliseconds;
	/** Longest time for which callers use an address after they were given it, which may exceed its time to live. */
	maxAddressUse: Milliseconds;
	/** Returns the number of requests that are being handled, including attempts that go on after the caller disconnected. */
	countOpenRequests: () => number;
	/** Notifies the other hosts and the key-value service. */
	announce: () => Promise<void>;
	/** Ends the registration of the host. */
	release: () => Promise<void>;
	/** Accepts no request from now on: those that still come are refused as not run. */
	endAdmission: () => void;
	/** Answers the requests whose answers haven't begun. */
	answerRequests: () => void;
	/** Cuts the answers that have begun. */
	cutRequests: () => void;
	/** Returns the time since the last request arrived; undefined if none has. */
	getTimeSinceRequest: () => Milliseconds | undefined;
	/** Logs the calls that are open, as the process is about to end over them. */
	reportOpenCalls: () => void;
};

/** Part of the grace period that is reserved for the last log lines and for the exit of the process. */
const exitMargin: Milliseconds = 300;
/** Part of the grace period before its end in which requests that are still open are answered, and no more are served. */
const answerMargin: Milliseconds = 200;
/** Time after the end of admission in which requests that are under way on open connections are still read and refused, as the end of the process would reset them; also the longest wait for the announcement and the release. */
const refusalPeriod: Milliseconds = 100;
/** Interval at which the number of open requests is polled. */
const checkInterval: Milliseconds = 50;

/** Time after the signal during which callers may not know of the stop yet, and all requests are accepted; at most a part of the time in which they are served. */
const maxNoticePeriod: Milliseconds = 2500;
const noticePart = 1 / 3;

/** Returns the time after the signal to stop for which a host serves requests. */
export const getServingTime = (gracePeriod: Milliseconds): Milliseconds => Math.max(0, gracePeriod - exitMargin - answerMargin);

/**
 * Whether a host that began to stop `elapsed` ago accepts a request that may last for `timeout`. A late caller is better
 * served by another host than with an answer that is cut off when the process is killed.
 */
export const canAcceptRequest = (elapsed: Milliseconds, gracePeriod: Milliseconds, timeout: Milliseconds): boolean =>
	elapsed <= Math.min(maxNoticePeriod, getServingTime(gracePeriod) * noticePart) || timeout <= getServingTime(gracePeriod) - elapsed;

/**
 * Serves until callers no longer use the address and all requests are answered, or the grace period is almost over, and ends
 * admission in that same step: whatever takes time comes after it, when no request is accepted any more. Those that are
 * still open are answered or cut.
 */
export const stopHost = async ({
	clock, logger, getGracePeriod, maxAddressUse, countOpenRequests, announce, release, endAdmission, answerRequests, cutRequests, getTimeSinceRequest, reportOpenCalls,
}: StopOptions): Promise<void> => {
	const startedAt = clock.monotonic();
	const getElapsed = (): Milliseconds => clock.monotonic() - startedAt;
	const getTimeToServe = (): Milliseconds => getServingTime(getGracePeriod());

	/** Waits until no request is open, or until a time after the signal; at least until another. */
	const waitForRequests = async (getEnd: () => Milliseconds, minimum: Milliseconds): Promise<void> => {
		while (getElapsed() < getEnd() && (getElapsed() < minimum || countOpenRequests() > 0)) {
			// eslint-disable-next-line no-await-in-loop -- Polls the number of open requests.
			await clock.sleep(checkInterval);
		}
	};

	/** Runs a step, the failure of which is logged, as the steps after it must follow all the same. */
	const runStep = async (step: string, run: () => Promise<void> | void): Promise<void> => {
		try {
			await run();
		} catch (error) {
			logger.error('stop-step-failed', {step, reason: (error as Error).stack ?? String(error)});
		}
	};

	/** Logs a step of the end, with what tells whether requests still come. */
	const report = (event: 'ending' | 'stopped', fields: Record<string, number>): void => {
		const sinceRequest = getTimeSinceRequest();
		logger.info(event, {
			...fields, open: countOpenRequests(), sinceRequest: sinceRequest === undefined ? undefined : Math.round(sinceRequest), after: Math.round(getElapsed()),
		});
	};

	/** Releases the host after its announcement; until then, the others count it among those that share fleet-wide limits. */
	const endMembership = async (): Promise<void> => {
		await announcement;
		await runStep('release', release);
	};

	logger.info('stopping', {open: countOpenRequests(), grace: getGracePeriod()});
	const announcement = runStep('announce', announce);
	await waitForRequests(getTimeToServe, maxAddressUse);
	endAdmission();
	const unanswered = countOpenRequests();
	report('ending', {});
	await runStep('answer', answerRequests);
	// After the answers, as those of many requests take a while, and each has to be written before it may be cut.
	const refusedUntil = getElapsed() + refusalPeriod;
	await Promise.all([
		waitForRequests(() => Math.max(getTimeToServe() + answerMargin, refusedUntil), refusedUntil),
		Promise.race([endMembership(), clock.sleep(refusalPeriod)]),
	]);
	const cut = countOpenRequests();
	await runStep('cut', cutRequests);
	reportOpenCalls();
	report('stopped', {unanswered, cut});
};
