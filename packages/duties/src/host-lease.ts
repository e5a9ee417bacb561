import {createElapsedTime, type Clock} from '@gentianlift/clock';
import {
	grantHeldLease, isLeaseValid, renewHeldLease, type HeldLease, type HeldLeaseOptions,
} from '@gentianlift/platform';
import type {KeyValueService, Milliseconds} from '@gentianlift/types';
import {dutyTiming} from './timing.js';

/** Result of keeping a lease: `unconfirmed` while no renewal is answered, `overdue` if that has lasted so long that another host should follow, and `lost` once the store has ended the lease. */
export type LeaseState = 'kept' | 'unconfirmed' | 'overdue' | 'lost';

/** The one lease under which a host holds its duties. */
export type HostLease = {
	/** Returns the id of the lease; undefined if there is none. */
	getId: () => string | undefined;
	/** Whether the host may act until `duration` from now. */
	isValidFor: (duration: Milliseconds) => boolean;
	/** Asks for a lease if there is none; returns whether there is a valid one. */
	acquire: () => Promise<boolean>;
	/** Renews the lease if that is due. */
	keep: () => Promise<LeaseState>;
	/** Forgets the lease, and returns its id. */
	drop: () => string | undefined;
};

/** Creates the lease of a host that has none; `getTime` counts suspensions. */
export const createHostLease = (keyValue: HeldLeaseOptions['keyValue'] & Pick<KeyValueService, 'endLease'>, clock: Pick<Clock, 'now' | 'monotonic'>): HostLease => {
	const getTime = createElapsedTime(clock);
	const options: HeldLeaseOptions = {keyValue, getTime, timing: dutyTiming};
	let lease: HeldLease | undefined;
	let renewAt = Number.POSITIVE_INFINITY;

	const isValidFor = (duration: Milliseconds): boolean => lease !== undefined && isLeaseValid(lease, getTime() + duration);

	const scheduleRenewal = (interval: Milliseconds): void => {
		renewAt = getTime() + interval;
	};

	const renew = async (held: HeldLease): Promise<void> => {
		scheduleRenewal(dutyTiming.renewalInterval);
		const outcome = await renewHeldLease(held, options);
		if (lease?.id !== held.id) {
			return;
		}

		switch (outcome.kind) {
			case 'held': {
				lease = outcome.lease;
				break;
			}

			case 'lost': {
				lease = undefined;
				break;
			}

			case 'unconfirmed': {
				scheduleRenewal(isValidFor(0) ? dutyTiming.renewalRetryInterval : dutyTiming.renewalInterval);
				break;
			}
		}
	};

	return {
		getId: () => lease?.id,
		isValidFor,
		async acquire() {
			if (lease === undefined) {
				const outcome = await grantHeldLease(options);
				lease = outcome.kind === 'held' ? outcome.lease : undefined;
				scheduleRenewal(dutyTiming.renewalInterval);
			}

			return isValidFor(0);
		},
		async keep() {
			if (lease !== undefined && getTime() >= renewAt) {
				await renew(lease);
			}

			if (lease === undefined) {
				return 'lost';
			}

			return isValidFor(0) ? 'kept' : (isValidFor(-dutyTiming.maxUnconfirmedTime) ? 'unconfirmed' : 'overdue');
		},
		drop() {
			const id = lease?.id;
			lease = undefined;
			return id;
		},
	};
};
