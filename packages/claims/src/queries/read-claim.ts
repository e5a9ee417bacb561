import type {Claim, ClaimKey, RequestId} from '@gentianlift/types';
import {getExpandedClaim} from '../slots/apply-claim.js';
import type {ClaimLimits} from '../slots/limits.js';
import type {SlotRead} from '../slots/slot-calls.js';
import {
	getIdentity, getSlot, readSlotOfRequest, type Slot,
} from '../slots/slot.js';

/** Result of looking for a claim. */
export type ClaimRead
	= | {kind: 'found'; claim: Claim}
		| {kind: 'absent'}
		| {kind: 'unavailable'; reason: string};

/** Where slots are read. */
export type SlotSource = {read: (slot: Slot) => Promise<SlotRead>};

/** Reads the claim of a key from the service. */
export const readClaim = async (slots: SlotSource, key: ClaimKey, limits: ClaimLimits): Promise<ClaimRead> => {
	const read = await slots.read(getSlot(key, limits));
	if (read.kind === 'unavailable') {
		return read;
	}

	const identity = getIdentity(key);
	const claim = read.state.claims.get(identity);
	if (claim !== undefined) {
		return {kind: 'found', claim};
	}

	const compact = read.state.compact.get(identity);
	return compact === undefined ? {kind: 'absent'} : {kind: 'found', claim: getExpandedClaim(key, compact)};
};

/** Reads the claim of a booking's request id from the service; absent for the id of a plain request. */
export const readClaimOfRequest = async (slots: SlotSource, request: RequestId): Promise<ClaimRead> => {
	const slot = readSlotOfRequest(request);
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
