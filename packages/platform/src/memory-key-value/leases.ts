import type {Clock} from '@gentianlift/clock';
import type {LeaseOutcome, Milliseconds} from '@gentianlift/types';
import type {Entries} from './entries.js';

/** Leases of the service; the entries of a lease are removed when it ends or expires. */
export type Leases = {
	grant: (duration: Milliseconds) => LeaseOutcome;
	renew: (lease: string) => LeaseOutcome;
	end: (lease: string) => LeaseOutcome;
	/** Returns whether a lease has neither been ended nor removed by `removeExpired`. */
	isHeld: (lease: string) => boolean;
	/** Ends the leases whose time is over. */
	removeExpired: () => void;
};

type Lease = {duration: Milliseconds; expiresAt: Milliseconds};

/** Creates the leases of entries; there are none at first. */
export const createLeases = (entries: Entries, clock: Clock): Leases => {
	const leases = new Map<string, Lease>();
	let sequence = 0;

	const hold = (lease: string, duration: Milliseconds): LeaseOutcome => {
		leases.set(lease, {duration, expiresAt: clock.monotonic() + duration});
		return {kind: 'held', lease, expiresIn: duration};
	};

	const remove = (lease: string): void => {
		leases.delete(lease);
		entries.removeLeased(lease);
	};

	const removeExpired = (): void => {
		const expired = [...leases].filter(([, {expiresAt}]) => expiresAt <= clock.monotonic()).map(([lease]) => lease);
		for (const lease of expired) {
			remove(lease);
		}
	};

	return {
		grant: duration => hold(`lease-${++sequence}`, duration),
		renew(lease) {
			removeExpired();
			const held = leases.get(lease);
			return held === undefined ? {kind: 'lost'} : hold(lease, held.duration);
		},
		end(lease) {
			remove(lease);
			return {kind: 'lost'};
		},
		isHeld: lease => leases.has(lease),
		removeExpired,
	};
};
