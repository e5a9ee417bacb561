import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {KeyValueService, Milliseconds} from '@gentianlift/types';
import {getHostKey, type HostRecord} from './host-record.js';

/** Keeps a host's record in the key-value service under a lease. */
export type HostRegistration = {
	/** Says that the host is in a graceful shutdown. */
	markStopping: () => Promise<void>;
	/** Removes the record. */
	end: () => Promise<void>;
};

/** What a registration works with. */
export type HostRegistrationOptions = {
	store: Pick<KeyValueService, 'compareAndSwap' | 'grantLease' | 'renewLease' | 'endLease'>;
	record: HostRecord;
	clock: Clock;
	logger: Logger;
};

const leaseDuration: Milliseconds = 6000;
const renewInterval: Milliseconds = 2000;
const failurePause: Milliseconds = 500;

/** Starts to register the host; goes on trying until ended. */
export const registerHost = ({store, record, clock, logger}: HostRegistrationOptions): HostRegistration => {
	const key = getHostKey(record.host);
	let current = record;
	let lease: string | undefined;
	let expected = 0;
	const state = {isEnded: false};

	/** Writes the record over whatever an earlier process of this host left. */
	const write = async (): Promise<boolean> => {
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

	const acquire = async (): Promise<boolean> => {
		const outcome = await store.grantLease(leaseDuration);
		if (outcome.kind !== 'held') {
			return false;
		}

		lease = outcome.lease;
		// A rejected write names the revision that the next one has to expect.
		const isWritten = await write() || await write();
		lease = isWritten ? lease : undefined;
		if (isWritten) {
			logger.info('host-registered', {host: record.host, incarnation: record.incarnation, lease});
		}

		return isWritten;
	};

	const renew = async (held: string): Promise<boolean> => {
		const outcome = await store.renewLease(held);
		if (outcome.kind === 'lost') {
			logger.warn('lease-lost', {lease: held});
			lease = undefined;
			expected = 0;
		}

		return outcome.kind === 'held';
	};

	const run = async (): Promise<void> => {
		while (!state.isEnded) {
			// eslint-disable-next-line no-await-in-loop -- A lease is renewed after it was acquired.
			const isDone = await (lease === undefined ? acquire() : renew(lease));
			// eslint-disable-next-line no-await-in-loop -- A pause between calls.
			await clock.sleep(isDone ? renewInterval : failurePause);
		}
	};

	void run();
	return {
		async markStopping() {
			current = {...current, isStopping: true};
			if (lease !== undefined) {
				await write();
			}
		},
		async end() {
			state.isEnded = true;
			if (lease !== undefined) {
				await store.endLease(lease);
			}
		},
	};
};
