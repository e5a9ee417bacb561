import type {Cancel, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import {renewHeldLease} from '@gentianlift/platform';
import type {Milliseconds} from '@gentianlift/types';
import {acquireTerm, type AcquireOptions} from './acquire-term.js';
import {isTermValid, type Term} from './term.js';

/** Participation of a host in the leader election: acquires the lease when it is free, and renews it. */
export type LeaderElection = {
	/** Returns the current term of this host; undefined when it does not hold a valid lease. */
	getTerm: () => Term | undefined;
	/** Ends the term, for example after an engine has seen a higher fencing number. */
	stepDown: (reason: string) => Promise<void>;
	start: () => void;
	/** Stops and releases the lease, also one that is being acquired. */
	stop: () => Promise<void>;
};

/** Dependencies of a leader election. */
export type LeaderElectionOptions = AcquireOptions & {
	random: Random;
	metrics: Metrics;
	/** Whether this host should try to acquire the lease. */
	isCandidate: () => boolean;
};

/** Maximum fraction by which an interval is randomly shortened. */
const jitterFraction = 0.2;

/** Creates the leader election of a host; it is inactive until started. */
export const createLeaderElection = (options: LeaderElectionOptions): LeaderElection => {
	const {clock, keyValue, timing, metrics, random} = options;
	let term: Term | undefined;
	let cancel: Cancel | undefined;
	let isRunning = false;
	let currentRun: Promise<void> = Promise.resolve();

	const updateTerm = (next: Term | undefined): void => {
		term = next;
		metrics.setGauge('placement_holder', next === undefined ? 0 : 1);
		metrics.setGauge('placement_fencing_number', next?.fencingNumber ?? 0);
	};

	const loseTerm = (reason: string): void => {
		updateTerm(undefined);
		metrics.count('placement_lease_losses_total', {reason});
	};

	const renewTerm = async (held: Term): Promise<void> => {
		const outcome = await renewHeldLease({id: held.leaseId, validUntil: held.validUntil}, {keyValue, timing, getTime: clock.monotonic});
		if (term !== held) {
			return;
		}

		switch (outcome.kind) {
			case 'held': {
				updateTerm({...held, validUntil: outcome.lease.validUntil});
				break;
			}

			case 'lost': {
				loseTerm('lapsed');
				break;
			}

			case 'unconfirmed': {
				break;
			}
		}
	};

	const tryAcquireTerm = async (): Promise<void> => {
		const outcome = await acquireTerm({...options, isStopped: () => !isRunning});
		if (outcome.kind !== 'acquired') {
			metrics.count('placement_acquisitions_total', {outcome: outcome.kind});
			return;
		}

		metrics.count('placement_acquisitions_total', {outcome: outcome.kind});
		if (!isRunning) {
			await keyValue.endLease(outcome.term.leaseId);
			return;
		}

		updateTerm(outcome.term);
	};

	const getTerm = (): Term | undefined => {
		if (term !== undefined && !isTermValid(term, clock.monotonic())) {
			loseTerm('expired');
		}

		return term;
	};

	const run = async (): Promise<void> => {
		const held = getTerm();
		if (held !== undefined) {
			await renewTerm(held);
		} else if (options.isCandidate()) {
			await tryAcquireTerm();
		}

		schedule();
	};

	const schedule = (): void => {
		if (!isRunning) {
			return;
		}

		const interval: Milliseconds = term === undefined ? timing.pollInterval : timing.renewalInterval;
		cancel = clock.after(interval * (1 - (jitterFraction * random.next())), () => {
			currentRun = run();
		});
	};

	const stepDown = async (reason: string): Promise<void> => {
		const held = term;
		if (held !== undefined) {
			loseTerm(reason);
			await keyValue.endLease(held.leaseId);
		}
	};

	return {
		getTerm,
		stepDown,
		start() {
			isRunning = true;
			currentRun = run();
		},
		async stop() {
			isRunning = false;
			cancel?.();
			await stepDown('stopped');
			// An acquisition in flight ends after its current call and releases the lease that it has.
			await currentRun;
		},
	};
};
