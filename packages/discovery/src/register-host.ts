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
	let lease: string | undefined;
	let expected = 0;

	/** Writes the record. If an earlier process of this host has left one, the first attempt is rejected and the second overwrites it. */
	const writeRecord = async (): Promise<boolean> => {
		const outcome = await store.compareAndSwap({
			key, value: JSON.stringify(current), expected, ...(lease !== undefined && {lease}),
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

	/** Acquires a lease and writes the record under it. */
	const register = async (): Promise<boolean> => {
		const outcome = await store.grantLease(leaseDuration);
		if (outcome.kind !== 'held') {
			return false;
		}

		lease = outcome.lease;
		// A rejected write returns the revision that the next one must expect.
		const isWritten = await writeRecord() || await writeRecord();
		lease = isWritten ? lease : undefined;
		if (isWritten) {
			logger.info('host-registered', {host: record.host, incarnation: record.incarnation, lease});
		}

		return isWritten;
	};

	const renewLease = async (held: string): Promise<boolean> => {
		const outcome = await store.renewLease(held);
		if (outcome.kind === 'lost') {
			logger.warn('lease-lost', {lease: held});
			lease = undefined;
			expected = 0;
		}

		return outcome.kind === 'held';
	};

	const maintainRegistration = async (): Promise<Milliseconds> => {
		await opened;
		const isDone = await (lease === undefined ? register() : renewLease(lease));
		return isDone ? renewInterval : retryDelay;
	};

	const {stop} = startLoop('register', maintainRegistration, {clock, logger, onFailure});
	return {
		async markStopping() {
			current = {...current, isStopping: true};
			if (lease !== undefined) {
				await writeRecord();
			}
		},
		async end() {
			stop();
			if (lease !== undefined) {
				await store.endLease(lease);
			}
		},
	};
};
