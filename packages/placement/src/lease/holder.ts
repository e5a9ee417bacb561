import type {Cancel, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {Milliseconds} from '@gentianlift/types';
import {acquireTerm, type AcquirePorts} from './acquire-term.js';
import {getValidUntil, isValid, type Term} from './term.js';

/** What keeps the lease, or waits for it. */
export type Holder = {
	/** The term in which this host may act now; undefined when it holds no lease. */
	getTerm: () => Term | undefined;
	/** Gives up the term, as after an engine has seen a higher fencing number. */
	stepDown: (reason: string) => Promise<void>;
	start: () => void;
	stop: () => Promise<void>;
};

/** What a holder needs. */
export type HolderPorts = AcquirePorts & {
	random: Random;
	metrics: Metrics;
	/** Whether this host should try to become the holder. */
	isCandidate: () => boolean;
};

/** Part of an interval by which it varies. */
const jitter = 0.2;

/** Creates a host's part in the lease; it does nothing before its start. */
export const createHolder = (ports: HolderPorts): Holder => {
	const {clock, keyValue, timing, metrics, random} = ports;
	let term: Term | undefined;
	let cancel: Cancel | undefined;
	let isRunning = false;

	const setTerm = (next: Term | undefined): void => {
		term = next;
		metrics.setGauge('placement_holder', next === undefined ? 0 : 1);
		metrics.setGauge('placement_fencing_number', next?.fencingNumber ?? 0);
	};

	const lose = (reason: string): void => {
		setTerm(undefined);
		metrics.count('placement_lease_losses_total', {reason});
	};

	const renew = async (held: Term): Promise<void> => {
		const askedAt = clock.monotonic();
		const outcome = await keyValue.renewLease(held.lease);
		if (term !== held) {
			return;
		}

		if (outcome.kind === 'held') {
			setTerm({...held, validUntil: getValidUntil(askedAt, timing)});
		} else if (outcome.kind === 'lost') {
			lose('lapsed');
		}
	};

	const acquire = async (): Promise<void> => {
		const outcome = await acquireTerm(ports);
		if (outcome.kind !== 'acquired') {
			metrics.count('placement_acquisitions_total', {outcome: outcome.kind});
			return;
		}

		metrics.count('placement_acquisitions_total', {outcome: outcome.kind});
		if (!isRunning) {
			await keyValue.endLease(outcome.term.lease);
			return;
		}

		setTerm(outcome.term);
	};

	const getTerm = (): Term | undefined => {
		if (term !== undefined && !isValid(term, clock.monotonic())) {
			lose('expired');
		}

		return term;
	};

	const run = async (): Promise<void> => {
		const held = getTerm();
		if (held !== undefined) {
			await renew(held);
		} else if (ports.isCandidate()) {
			await acquire();
		}

		schedule();
	};

	const schedule = (): void => {
		if (!isRunning) {
			return;
		}

		const interval: Milliseconds = term === undefined ? timing.poll : timing.renewal;
		cancel = clock.after(interval * (1 - (jitter * random.next())), () => {
			void run();
		});
	};

	const stepDown = async (reason: string): Promise<void> => {
		const held = term;
		if (held !== undefined) {
			lose(reason);
			await keyValue.endLease(held.lease);
		}
	};

	return {
		getTerm,
		stepDown,
		start() {
			isRunning = true;
			void run();
		},
		async stop() {
			isRunning = false;
			cancel?.();
			await stepDown('stopped');
		},
	};
};
