import type {Claim, ClaimKey, RequestId} from '@gentianlift/types';
import {expandCompactClaim} from '../slots/apply-claim.js';
import type {ClaimLimits} from '../slots/limits.js';
import type {SlotRead} from '../slots/slot-store.js';
import {
	getKeyHash, getSlot, parseSlotFromRequestId, type Slot,
} from '../slots/slot.js';

/** Result of reading a claim. */
export type ClaimRead
	= | {kind: 'found'; claim: Claim}
		| {kind: 'absent'}
		| {kind: 'unavailable'; reason: string};

/** Reads slots from the key-value service. */
export type SlotReader = {read: (slot: Slot) => Promise<SlotRead>};

/** Reads the claim of a key from the key-value service. */
export const readClaim = async (slots: SlotReader, key: ClaimKey, limits: ClaimLimits): Promise<ClaimRead> => {
	const read = await slots.read(getSlot(key, limits));
	if (read.kind === 'unavailable') {
		return read;
	}

	const keyHash = getKeyHash(key);
	const claim = read.state.claims.get(keyHash);
	if (claim !== undefined) {
		return {kind: 'found', claim};
	}

	const compact = read.state.compact.get(keyHash);
	return compact === undefined ? {kind: 'absent'} : {kind: 'found', claim: expandCompactClaim(key, compact)};
};

/** Reads the claim of a non-idempotent request by its id; absent for the id of an idempotent request, and once the claim was compacted or replaced by that of another request with its key. */
export const readClaimByRequestId = async (slots: SlotReader, request: RequestId): Promise<ClaimRead> => {
	const slot = parseSlotFromRequestId(request);
	if (slot === undefined) {
		return {kind: 'absent'};
	}

	const read = await slots.read(slot);
	if (read.kind === 'unavailable') {
		return read;
	}

	const claim = [...read.state.claims.values()].find(candidate => candidate.request === request);
	return claim === undefined ? {kind: 'absent'} : {kind: 'found', claim};
};
