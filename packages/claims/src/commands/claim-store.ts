import type {Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {
	ClaimDecision, ClaimRequest, ClaimSettlement, HostId, Incarnation, KeyValueService, SettlementOutcome,
} from '@gentianlift/types';
import {claimLimits, type ClaimLimits} from '../slots/limits.js';
import {createSlotStore} from '../slots/slot-store.js';
import {createSlotWriter, type SlotWriter} from '../slots/slot-writer.js';
import {getSlot} from '../slots/slot.js';

/** Dependencies and options of a store for claims. */
export type ClaimOwnerOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	keyValue: KeyValueService;
	/** Whether the incarnation of a host is known to have ended; false while that is uncertain. */
	isGone?: (host: HostId, incarnation: Incarnation) => boolean;
	limits?: ClaimLimits;
};

/** Stores claims in slots on this host, whether or not the host owns the slot. Any host may write any slot; sending the claims of all hosts to the slot's owner lets it batch their writes. */
export type ClaimOwner = {
	/** Decides on a claim, and stores it if the request may start. */
	claim: (from: HostId, request: ClaimRequest) => Promise<ClaimDecision>;
	/** Stores a settlement. Never rejects; `retry` is set when the write to the key-value service failed. */
	settle: (from: HostId, settlement: ClaimSettlement) => Promise<SettlementOutcome>;
	slots: SlotWriter;
	limits: ClaimLimits;
};

/** Creates the store for claims of a host. */
export const createClaimOwner = (options: ClaimOwnerOptions): ClaimOwner => {
	const {
		clock, random, metrics, keyValue, limits = claimLimits, isGone = () => false,
	} = options;
	const store = createSlotStore(keyValue, metrics);
	const slots = createSlotWriter({
		clock, random, store, limits, isGone,
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
