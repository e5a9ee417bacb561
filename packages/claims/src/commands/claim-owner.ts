import type {Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {
	ClaimDecision, ClaimRequest, ClaimSettlement, HostId, Incarnation, KeyValueService, SettlementOutcome,
} from '@gentianlift/types';
import {claimLimits, type ClaimLimits} from '../slots/limits.js';
import {createSlotCalls} from '../slots/slot-calls.js';
import {createSlotWriter, type SlotWriter} from '../slots/slot-writer.js';
import {getSlot} from '../slots/slot.js';

/** What the owner's side of claims needs. */
export type ClaimOwnerOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	keyValue: KeyValueService;
	/** Whether a run of a host is known to have ended; false while that is open. */
	isGone?: (host: HostId, incarnation: Incarnation) => boolean;
	limits?: ClaimLimits;
};

/** Stores claims in their slots. Any host may do it for any slot; the slot's owner groups those of all hosts. */
export type ClaimOwner = {
	claim: (from: HostId, request: ClaimRequest) => Promise<ClaimDecision>;
	/** Never throws; `retry` is set when the service could not be written. */
	settle: (from: HostId, settlement: ClaimSettlement) => Promise<SettlementOutcome>;
	slots: SlotWriter;
	limits: ClaimLimits;
};

/** Creates the owner's side of claims. */
export const createClaimOwner = (options: ClaimOwnerOptions): ClaimOwner => {
	const {
		clock, random, metrics, keyValue, limits = claimLimits, isGone = () => false,
	} = options;
	const calls = createSlotCalls(keyValue, metrics);
	const slots = createSlotWriter({
		clock, random, calls, limits, isGone,
	});

	const claim = async (request: ClaimRequest): Promise<ClaimDecision> => {
		const outcome = await slots.apply(getSlot(request.key, limits), {kind: 'claim', request}, limits.claimTimeout);
		if (outcome.kind === 'failed') {
			return {kind: 'unavailable', reason: outcome.reason, undetermined: outcome.undetermined};
		}

		return outcome.answer.kind === 'claim' ? outcome.answer.decision : {kind: 'unavailable', reason: 'wrong answer', undetermined: true};
	};

	return {
		slots,
		limits,
		async claim(_from, request) {
			const startedAt = clock.monotonic();
			const decision = await claim(request);
			metrics.count('claim_decisions', {decision: decision.kind});
			metrics.record('claim_duration', clock.monotonic() - startedAt);
			return decision;
		},
		async settle(_from, settlement) {
			const outcome = await slots.apply(getSlot(settlement.key, limits), {kind: 'settle', settlement}, limits.settleTimeout);
			metrics.count('claim_settlements', {outcome: outcome.kind});
			return outcome.kind === 'answered' && outcome.answer.kind === 'settle' ? outcome.answer.outcome : {stored: false, retry: true};
		},
	};
};
