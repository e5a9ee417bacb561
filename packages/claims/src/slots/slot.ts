import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {ClaimKey, Milliseconds, RequestId} from '@gentianlift/types';
import {getKeyTime} from './key-time.js';
import {claimLimits, type ClaimLimits} from './limits.js';

/** Where a claim is kept: one value of the key-value service that many claims share. */
export type Slot
	= | {kind: 'timed'; bucket: number; index: number}
		| {kind: 'untimed'; index: number};

const identityBytes = 16;
const requestPattern = /^.+\.\d+\.\d+\.(?:t(?<bucket>\d+)-(?<timed>\d+)|u(?<untimed>\d+))$/v;

const getHash = (key: ClaimKey): Uint8Array => createHash('sha256').update(`${key.customer}\n${key.key}`).digest();

/** Gets the text that stands for a customer's key inside a slot. */
export const getIdentity = (key: ClaimKey): string =>
	Buffer.from(getHash(key).subarray(0, identityBytes)).toString('base64url');

/** Gets the slot of a key. It depends on the key and the limits alone, so that all hosts agree. */
export const getSlot = (key: ClaimKey, limits: ClaimLimits): Slot => {
	const number = Buffer.from(getHash(key)).readUInt32BE(identityBytes);
	const time = getKeyTime(key.key);
	if (time === undefined) {
		return {kind: 'untimed', index: number % limits.untimedSlots};
	}

	return {kind: 'timed', bucket: Math.floor(time / limits.bucketDuration), index: number % limits.timedSlots};
};

/** Prefix of all slots of a bucket. */
export const getBucketPrefix = (bucket: number): string => `claims/t/${bucket}/`;

/** Gets the key of a slot's value in the key-value service. */
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

/** Gets the name that decides which host groups the writes of a slot. It has no time in it, so that a host keeps its slots. */
export const getOwnerKey = (slot: Slot): string => `claims/${slot.kind}/${slot.index}`;

/** Moment at which a bucket ends. */
export const getBucketEnd = (bucket: number, limits: ClaimLimits): Milliseconds => (bucket + 1) * limits.bucketDuration;

/** Creates the id of a non-idempotent request from a plain one: it names the slot, so that any host finds the claim by the id. */
export const createBookingId = (id: RequestId, key: ClaimKey, limits: ClaimLimits = claimLimits): RequestId => {
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

/** Reads the slot from the id of a non-idempotent request; undefined for other ids. */
export const readSlotOfRequest = (id: RequestId): Slot | undefined => {
	const groups = requestPattern.exec(id)?.groups;
	if (groups === undefined) {
		return undefined;
	}

	return groups.untimed === undefined
		? {kind: 'timed', bucket: Number(groups.bucket), index: Number(groups.timed)}
		: {kind: 'untimed', index: Number(groups.untimed)};
};
