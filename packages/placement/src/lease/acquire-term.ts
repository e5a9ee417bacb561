import type {Clock} from '@gentianlift/clock';
import {grantHeldLease, type HeldLease} from '@gentianlift/platform';
import type {HostId, Incarnation, KeyValueService} from '@gentianlift/types';
import type {Timing} from '../timing.js';
import {getUnfencedOrdersFrom, type Term} from './term.js';

/** Key of the entry that names the lease holder. The entry is bound to the lease and is removed with it. */
export const holderKey = 'placement/holder';
/** Key of the entry with the highest fencing number issued so far; it outlives leases. */
export const fencingKey = 'placement/fencing';

/** A host and its incarnation. */
export type HostIncarnation = {host: HostId; incarnation: Incarnation};

/** Dependencies of acquiring a term. */
export type AcquireOptions = {
	keyValue: KeyValueService;
	clock: Clock;
	self: HostIncarnation;
	timing: Timing;
	/** Whether the host stops, so that the attempt ends after the call in flight. */
	isStopped?: () => boolean;
};

/** Outcome of an attempt to become the lease holder. */
export type AcquireOutcome
	= | {kind: 'acquired'; term: Term}
		| {kind: 'taken'}
		| {kind: 'failed'; reason: string};

const stopped: AcquireOutcome = {kind: 'failed', reason: 'stopped'};

/** Highest fencing number issued so far, and the revision of its entry. */
type FencingRecord = {number: number; revision: number};

const readFencingRecord = async (keyValue: KeyValueService): Promise<FencingRecord | undefined> => {
	const outcome = await keyValue.read(fencingKey);
	switch (outcome.kind) {
		case 'found': {
			return {number: Number(outcome.entry.value), revision: outcome.entry.revision};
		}

		case 'absent': {
			return {number: 0, revision: 0};
		}

		case 'unavailable': {
			return undefined;
		}
	}
};

/** A granted lease, and the fencing record that was read before it was requested. */
type LeaseGrant = {lease: HeldLease; fencing: FencingRecord};

/** Ends a lease after a failed attempt and returns the outcome. If the call is lost, the lease lapses at its end. */
const releaseLease = async ({keyValue}: AcquireOptions, lease: string, outcome: AcquireOutcome): Promise<AcquireOutcome> => {
	await keyValue.endLease(lease);
	return outcome;
};

/** Writes the holder's entry and raises the fencing number under a granted lease. */
const beginTerm = async (options: AcquireOptions, {lease: {id: lease, validUntil}, fencing}: LeaseGrant): Promise<AcquireOutcome> => {
	const {keyValue, clock, self, timing, isStopped} = options;
	if (isStopped?.()) {
		return releaseLease(options, lease, stopped);
	}

	const holder = await keyValue.compareAndSwap({
		key: holderKey, value: JSON.stringify(self), expected: 0, lease,
	});
	if (holder.kind !== 'applied') {
		return releaseLease(options, lease, holder.kind === 'rejected' ? {kind: 'taken'} : {kind: 'failed', reason: holder.reason});
	}

	if (isStopped?.()) {
		return releaseLease(options, lease, stopped);
	}

	const fencingNumber = fencing.number + 1;
	const raised = await keyValue.compareAndSwap({key: fencingKey, value: String(fencingNumber), expected: fencing.revision});
	if (raised.kind !== 'applied') {
		const reason = raised.kind === 'rejected' ? 'fencing-number-taken' : raised.reason;
		return releaseLease(options, lease, {kind: 'failed', reason});
	}

	const term: Term = {
		fencingNumber, leaseId: lease, validUntil, unfencedOrdersFrom: getUnfencedOrdersFrom(clock.monotonic(), timing),
	};
	return {kind: 'acquired', term};
};

/**
Attempts once to become the lease holder.

The fencing number is read before the holder's entry is written and raised after it, so that of two holders the later one has the higher number. After a write of unknown outcome the lease is released, as the write can't be relied on.
*/
export const acquireTerm = async (options: AcquireOptions): Promise<AcquireOutcome> => {
	const {keyValue, clock, timing, isStopped} = options;
	const holder = await keyValue.read(holderKey);
	if (holder.kind !== 'absent') {
		return holder.kind === 'found' ? {kind: 'taken'} : {kind: 'failed', reason: holder.reason};
	}

	const fencing = await readFencingRecord(keyValue);
	if (fencing === undefined) {
		return {kind: 'failed', reason: 'fencing-number-unread'};
	}

	if (isStopped?.()) {
		return stopped;
	}

	const granted = await grantHeldLease({keyValue, timing, getTime: clock.monotonic});
	return granted.kind === 'held' ? beginTerm(options, {lease: granted.lease, fencing}) : granted;
};
