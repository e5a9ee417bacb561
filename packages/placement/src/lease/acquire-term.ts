import type {Clock} from '@gentianlift/clock';
import type {
	HostId, Incarnation, KeyValueService, Milliseconds,
} from '@gentianlift/types';
import type {Timing} from '../timing.js';
import {getValidUntil, getWaitsUntil, type Term} from './term.js';

/** Entry that exists while a host holds the lease, tied to it. */
export const holderKey = 'placement/holder';
/** Entry with the highest fencing number given out; it outlives leases. */
export const fencingKey = 'placement/fencing';

/** Who asks for the lease. */
export type Self = {host: HostId; incarnation: Incarnation};

/** What acquiring needs. */
export type AcquirePorts = {keyValue: KeyValueService; clock: Clock; self: Self; timing: Timing};

/** Outcome of trying to become the holder. */
export type AcquireOutcome
	= | {kind: 'acquired'; term: Term}
		| {kind: 'taken'}
		| {kind: 'failed'; reason: string};

type FencingRecord = {number: number; revision: number};

const readFencing = async (keyValue: KeyValueService): Promise<FencingRecord | undefined> => {
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

type Claim = {lease: string; askedAt: Milliseconds; fencing: FencingRecord};

/** Gives up a lease that is of no use; if the call is lost, the lease lapses by itself. */
const giveUp = async ({keyValue}: AcquirePorts, lease: string, outcome: AcquireOutcome): Promise<AcquireOutcome> => {
	await keyValue.endLease(lease);
	return outcome;
};

const claimTerm = async (ports: AcquirePorts, {lease, askedAt, fencing}: Claim): Promise<AcquireOutcome> => {
	const {keyValue, clock, self, timing} = ports;
	const holder = await keyValue.compareAndSwap({
		key: holderKey, value: JSON.stringify(self), expected: 0, lease,
	});
	if (holder.kind !== 'applied') {
		return giveUp(ports, lease, holder.kind === 'rejected' ? {kind: 'taken'} : {kind: 'failed', reason: holder.reason});
	}

	const fencingNumber = fencing.number + 1;
	const raised = await keyValue.compareAndSwap({key: fencingKey, value: String(fencingNumber), expected: fencing.revision});
	if (raised.kind !== 'applied') {
		const reason = raised.kind === 'rejected' ? 'fencing-number-taken' : raised.reason;
		return giveUp(ports, lease, {kind: 'failed', reason});
	}

	const term: Term = {
		fencingNumber, lease, validUntil: getValidUntil(askedAt, timing), waitsUntil: getWaitsUntil(clock.monotonic(), timing),
	};
	return {kind: 'acquired', term};
};

/**
Tries once to become the holder.

The fencing number is read before the holder's entry is taken and raised after it, so of two holders the later one has the higher number. A write whose outcome isn't known is never relied on: the lease is given up.
*/
export const acquireTerm = async (ports: AcquirePorts): Promise<AcquireOutcome> => {
	const {keyValue, clock, timing} = ports;
	const holder = await keyValue.read(holderKey);
	if (holder.kind !== 'absent') {
		return holder.kind === 'found' ? {kind: 'taken'} : {kind: 'failed', reason: holder.reason};
	}

	const fencing = await readFencing(keyValue);
	if (fencing === undefined) {
		return {kind: 'failed', reason: 'fencing-number-unread'};
	}

	const askedAt = clock.monotonic();
	const granted = await keyValue.grantLease(timing.lease);
	if (granted.kind !== 'held') {
		return {kind: 'failed', reason: granted.kind === 'lost' ? granted.kind : granted.reason};
	}

	return claimTerm(ports, {lease: granted.lease, askedAt, fencing});
};
