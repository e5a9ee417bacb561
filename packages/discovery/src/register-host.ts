import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {KeyValueService, Milliseconds} from '@gentianlift/types';
import {getHostKey, type HostRecord} from './host-record.js';
import {startLoop, type LoopOptions} from './loop.js';

/** Keeps a host's record in the store under a lease. */
export type HostRegistration = {
	/** Marks the record: the host is in a graceful shutdown. */
	markStopping: () => Promise<void>;
	/** Ends the lease, which removes the record. */
	end: () => Promise<void>;
};

/** Options of the registration. */
export type HostRegistrationOptions = {
	store: Pick<KeyValueService, 'compareAndSwap' | 'grantLease' | 'renewLease' | 'endLease'>;
	record: HostRecord;
	/** Resolves when the host listens on its addresses; before that, others must not be told of them. Absent if it does already. */
	opened?: Promise<void>;
	clock: Clock;
	logger: Logger;
	/** Called with the name of a loop, a step of which has failed. */
	onFailure?: LoopOptions['onFailure'];
};

const leaseDuration: Milliseconds = 6000;
const renewInterval: Milliseconds = 2000;
const retryDelay: Milliseconds = 500;

/** Starts to register the host; retries and renews until ended. */
export const registerHost = ({
	store, record, opened, clock, logger, onFailure,
}: HostRegistrationOptions): HostRegistration => {
	const key = getHostKey(record.host);
	let current = record;
	/** The lease that was granted last, unless it has ended. */
	let lease: string | undefined;
	/** Whether the record is written under the lease. */
	let isWritten = false;
	let isEnded = false;
	let expected = 0;
	/** Resolves when the last write of the record has ended. */
	let writing: Promise<boolean> = Promise.resolve(false);
	/** Resolves when the registration under way has ended, successful or not. */
	let registering: Promise<boolean> = Promise.resolve(false);

	/** Makes one attempt to write the record under the lease. */
	const attemptWrite = async (): Promise<boolean> => {
		if (lease === undefined) {
			return false;
		}

		const outcome = await store.compareAndSwap({
			key, value: JSON.stringify(current), expected, lease,
		});
		switch (outcome.kind) {
			case 'applied': {
				expected = outcome.revision;
				return true;
			}

			case 'rejected': {
				expected = outcome.revision;
				return false;
			}

			case 'unavailable':
			case 'unknown': {
				logger.warn('registration-failed', {reason: outcome.reason});
				return false;
			}
		}
	};

	/**
	 * Writes the record, after the write under way, which changes the revision that this one must expect. If an earlier
	 * process of this host has left a record, the first attempt is rejected with its revision, and the second overwrites it.
	 */
	const writeRecord = async (): Promise<boolean> => {
		const write = async (): Promise<boolean> => await attemptWrite() || attemptWrite();
		writing = writing.then(write, write);
		return writing;
	};

	/** Ends the lease, which removes the record if it is written. */
	const endLease = async (): Promise<void> => {
		const held = lease;
		lease = undefined;
		if (held !== undefined) {
			await store.endLease(held);
		}
	};

	/** Acquires a lease and writes the record under it; gives up a lease that is granted after the end. */
	const register = async (): Promise<boolean> => {
		const outcome = await store.grantLease(leaseDuration);
		if (outcome.kind !== 'held') {
			return false;
		}

		lease = outcome.lease;
		if (isEnded) {
			await endLease();
			return false;
		}

		isWritten = await writeRecord();
		if (isWritten) {
			logger.info('host-registered', {host: record.host, incarnation: record.incarnation, lease});
		}

		return isWritten;
	};

	const renewLease = async (held: string): Promise<boolean> => {
		const outcome = await store.renewLease(held);
		if (outcome.kind === 'lost' && lease === held) {
			logger.warn('lease-lost', {lease: held});
			lease = undefined;
			isWritten = false;
			expected = 0;
		}

		return outcome.kind === 'held';
	};

	const maintainRegistration = async (): Promise<Milliseconds> => {
		await opened;
		if (isEnded) {
			return retryDelay;
		}

		if (isWritten && lease !== undefined) {
			return await renewLease(lease) ? renewInterval : retryDelay;
		}

		const registration = register();
		// The loop logs the failure.
		registering = registration.catch(() => false);
		return await registration ? renewInterval : retryDelay;
	};

	const {stop} = startLoop('register', maintainRegistration, {clock, logger, onFailure});
	return {
		async markStopping() {
			current = {...current, isStopping: true};
			await writeRecord();
		},
		async end() {
			isEnded = true;
			stop();
			await Promise.all([endLease(), registering]);
		},
	};
};
