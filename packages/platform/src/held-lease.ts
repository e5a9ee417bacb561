import type {KeyValueService, Milliseconds} from '@gentianlift/types';

/**
A lease as its holder counts it, on a clock of its own: from before it asked for it, and shorter than the service does. The holder thus stops acting before the service can give the lease's entries to another.
*/
export type HeldLease = {
	/** Id of the lease in the key-value service. */
	id: string;
	/** Moment on the holder's clock from which it must not act. */
	validUntil: Milliseconds;
};

/** Durations of a lease. */
export type LeaseTiming = {
	/** Duration of the lease in the key-value service. */
	leaseDuration: Milliseconds;
	/** Time by which the holder regards its lease as ended before the service does; covers clocks that run at different rates. */
	validityMargin: Milliseconds;
};

/** What asking for a lease or renewing one takes. */
export type HeldLeaseOptions = {
	keyValue: Pick<KeyValueService, 'grantLease' | 'renewLease'>;
	/** Returns the time on a clock that includes the time for which the holder was suspended. */
	getTime: () => Milliseconds;
	timing: LeaseTiming;
};

/** Outcome of asking for a lease. */
export type GrantOutcome = {kind: 'held'; lease: HeldLease} | {kind: 'failed'; reason: string};

/** Outcome of a renewal: `lost` if the lease has ended, `unconfirmed` if it isn't known whether it was renewed. */
export type RenewalOutcome = {kind: 'held'; lease: HeldLease} | {kind: 'lost'} | {kind: 'unconfirmed'; reason: string};

/** Returns the end of the safe validity of a lease that was requested at `requestedAt`. The service grants the lease later, so it ends the lease later too. */
export const getValidUntil = (requestedAt: Milliseconds, {leaseDuration, validityMargin}: LeaseTiming): Milliseconds =>
	requestedAt + leaseDuration - validityMargin;

/** Whether the holder may act at a time. */
export const isLeaseValid = ({validUntil}: Pick<HeldLease, 'validUntil'>, time: Milliseconds): boolean => time < validUntil;

/** Returns the lease that an answer of the service confirms; the service may grant less than it is asked for. */
const confirmLease = (id: string, requestedAt: Milliseconds, {expiresIn, timing}: {expiresIn: Milliseconds; timing: LeaseTiming}): HeldLease =>
	({id, validUntil: getValidUntil(requestedAt, {...timing, leaseDuration: Math.min(timing.leaseDuration, expiresIn)})});

/** Asks for a lease; one whose grant got no answer ends by itself. */
export const grantHeldLease = async ({keyValue, getTime, timing}: HeldLeaseOptions): Promise<GrantOutcome> => {
	const requestedAt = getTime();
	const outcome = await keyValue.grantLease(timing.leaseDuration);
	return outcome.kind === 'held'
		? {kind: 'held', lease: confirmLease(outcome.lease, requestedAt, {expiresIn: outcome.expiresIn, timing})}
		: {kind: 'failed', reason: outcome.kind === 'lost' ? outcome.kind : outcome.reason};
};

/** Renews a lease. One that is renewed has never ended, however long ago the holder's count of it did. */
export const renewHeldLease = async ({id}: HeldLease, {keyValue, getTime, timing}: HeldLeaseOptions): Promise<RenewalOutcome> => {
	const requestedAt = getTime();
	const outcome = await keyValue.renewLease(id);
	switch (outcome.kind) {
		case 'held': {
			return {kind: 'held', lease: confirmLease(id, requestedAt, {expiresIn: outcome.expiresIn, timing})};
		}

		case 'lost': {
			return outcome;
		}

		case 'unavailable':
		case 'unknown': {
			return {kind: 'unconfirmed', reason: outcome.reason};
		}
	}
};
