import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {ClaimKey, Milliseconds, RequestId} from '@gentianlift/types';
import {getKeyTimestamp} from './key-timestamp.js';
import {claimLimits, type ClaimLimits} from './limits.js';

/** Location of a claim: an entry of the key-value service that many claims share. A timed key contains a timestamp, which determines its bucket. */
export type Slot
	= | {kind: 'timed'; bucket: number; index: number}
		| {kind: 'untimed'; index: number};

const keyHashBytes = 16;
const requestIdPattern = /^.+\.\d+\.\d+\.(?:t(?<bucket>\d+)-(?<timed>\d+)|u(?<untimed>\d+))$/v;

const hashKey = (key: ClaimKey): Uint8Array => createHash('sha256').update(`${key.customer}\n${key.key}`).digest();

/** Returns the hash that identifies a customer's key in its slot. */
export const getKeyHash = (key: ClaimKey): string =>
	Buffer.from(hashKey(key).subarray(0, keyHashBytes)).toString('base64url');

/** Returns the slot of a key. It depends on the key and the limits alone, so that all hosts agree. */
export const getSlot = (key: ClaimKey, limits: ClaimLimits): Slot => {
	const slotHash = Buffer.from(hashKey(key)).readUInt32BE(keyHashBytes);
	const timestamp = getKeyTimestamp(key.key);
	if (timestamp === undefined) {
		return {kind: 'untimed', index: slotHash % limits.untimedSlots};
	}

	return {kind: 'timed', bucket: Math.floor(timestamp / limits.bucketDuration), index: slotHash % limits.slotsPerBucket};
};

/** Returns the prefix of the keys of a bucket's slots. */
export const getBucketPrefix = (bucket: number): string => `claims/t/${bucket}/`;

/** Returns the key of a slot in the key-value service. */
export const getSlotKey = (slot: Slot): string => {
	switch (slot.kind) {
		case 'timed': {
			return `${getBucketPrefix(slot.bucket)}${slot.index}`;
		}

		case 'untimed': {
			return `claims/u/${slot.index}`;
		}
	}
};

/** Returns the key that determines the owner of a slot, the host that batches its writes. It has no bucket in it, so that ownership stays the same from bucket to bucket. */
export const getOwnerKey = (slot: Slot): string => `claims/${slot.kind}/${slot.index}`;

/** Returns the first timestamp after a bucket. */
export const getBucketEnd = (bucket: number, limits: ClaimLimits): Milliseconds => (bucket + 1) * limits.bucketDuration;

/** Creates the id of a non-idempotent request from a plain id by appending the slot, so that any host can find the claim by the id. */
export const appendSlotToRequestId = (id: RequestId, key: ClaimKey, limits: ClaimLimits = claimLimits): RequestId => {
	const slot = getSlot(key, limits);
	switch (slot.kind) {
		case 'timed': {
			return `${id}.t${slot.bucket}-${slot.index}`;
		}

		case 'untimed': {
			return `${id}.u${slot.index}`;
		}
	}
};

/** Parses the slot from the id of a non-idempotent request; undefined for other ids. */
export const parseSlotFromRequestId = (id: RequestId): Slot | undefined => {
	const groups = requestIdPattern.exec(id)?.groups;
	if (groups === undefined) {
		return undefined;
	}

	return groups.untimed === undefined
		? {kind: 'timed', bucket: Number(groups.bucket), index: Number(groups.timed)}
		: {kind: 'untimed', index: Number(groups.untimed)};
};
