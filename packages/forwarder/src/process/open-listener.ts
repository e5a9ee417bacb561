import type {Server} from 'node:http';
import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Address, Milliseconds} from '@gentianlift/types';
import {listen} from '../callers/listen.js';

/** A server that is to listen on an address; `name` says in the log what it is for. */
export type Listener = {name: string; server: Server; address: Address};

/** Options of opening a listener. */
export type ListenerOptions = {
	clock: Clock;
	logger: Logger;
	/** Whether the listener is no longer wanted, as the process ends. */
	isCancelled: () => boolean;
};

type ListenFailure = Error & {code?: string};

/** Errors that pass: a previous process holds the address for up to its grace period, or the network interface comes up later. */
const passingCodes = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);
/** Pause after a failed attempt. */
export const listenRetryInterval: Milliseconds = 200;
/** Interval at which it is logged that an address still can't be used. */
const logInterval: Milliseconds = 5000;

/** Makes the server listen; returns the error if it can't for now, and rejects if it never will. */
const tryListen = async ({server, address}: Listener): Promise<ListenFailure | undefined> => {
	try {
		await listen(server, address);
		return undefined;
	} catch (error) {
		const failure = error as ListenFailure;
		if (failure.code === undefined || !passingCodes.has(failure.code)) {
			throw failure;
		}

		return failure;
	}
};

/** Listens on an address, and waits as long as it takes if the address is in use. Resolves once the server listens or is no longer wanted; rejects if the address is invalid or forbidden. */
export const openListener = async (listener: Listener, {clock, logger, isCancelled}: ListenerOptions): Promise<void> => {
	const {name, server, address} = listener;
	const startedAt = clock.monotonic();
	let loggedAt = Number.NEGATIVE_INFINITY;

	const reportFailure = ({message}: ListenFailure): void => {
		const now = clock.monotonic();
		if (now - loggedAt >= logInterval) {
			loggedAt = now;
			logger.warn('listen-failed', {
				listener: name, address, reason: message, after: Math.round(now - startedAt),
			});
		}
	};

	while (!isCancelled()) {
		// eslint-disable-next-line no-await-in-loop -- One attempt at a time.
		const failure = await tryListen(listener);
		if (failure === undefined) {
			// An error afterwards, as of a connection that can't be accepted, doesn't end the listening.
			server.on('error', error => {
				logger.warn('listener-error', {listener: name, address, reason: error.message});
			});
			logger.info('listening', {listener: name, address, after: Math.round(clock.monotonic() - startedAt)});
			return;
		}

		reportFailure(failure);
		// eslint-disable-next-line no-await-in-loop -- Attempts are separated by pauses.
		await clock.sleep(listenRetryInterval);
	}
};

/** Listens on an address without which the host serves all the same: a failure is only logged. */
export const openOptionalListener = async (listener: Listener, options: ListenerOptions): Promise<void> => {
	try {
		await openListener(listener, options);
	} catch (error) {
		options.logger.error('listener-given-up', {listener: listener.name, address: listener.address, reason: (error as Error).message});
	}
};
