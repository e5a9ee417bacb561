import type {
	Entry, KeyValueService, LeaseOutcome, WriteOutcome,
} from '@gentianlift/types';
import {z} from 'zod';
import {
	createJsonClient, getReason, type JsonOutcome, type PlatformClientOptions,
} from './json-client.js';

const entrySchema: z.ZodType<Entry> = z.object({key: z.string(), value: z.string(), revision: z.number()});
const listSchema = z.object({entries: z.array(entrySchema)});
const revisionSchema = z.object({revision: z.number()});
const leaseSchema = z.object({lease: z.string(), expiresIn: z.number()});

const httpStatus = {
	ok: 200, empty: 204, absent: 404, rejected: 409, limited: 429, unavailable: 503,
};
/** Statuses with which the service rejects a call before applying it. */
const notAppliedStatuses = new Set([httpStatus.limited, httpStatus.unavailable]);

type Failure = {kind: 'unavailable' | 'unknown'; reason: string};
type Unavailable = {kind: 'unavailable'; reason: string};

/** Returns the outcome of a read that got no usable reply. */
const getUnavailable = (outcome: JsonOutcome): Unavailable =>
	({kind: 'unavailable', reason: getReason(outcome)});

/** Returns the outcome of a failed call that changes state: `unknown`, unless it is certain that it was not applied. */
const getFailure = (outcome: JsonOutcome): Failure => {
	if (outcome.kind !== 'answered') {
		return outcome;
	}

	return {kind: notAppliedStatuses.has(outcome.status) ? 'unavailable' : 'unknown', reason: `status ${outcome.status}`};
};

/** Returns the reply's body if it has the expected status and shape; otherwise undefined. */
const parseReply = <Reply>(outcome: JsonOutcome, status: number, schema: z.ZodType<Reply>): Reply | undefined =>
	outcome.kind === 'answered' && outcome.status === status ? schema.safeParse(outcome.body).data : undefined;

const hasStatus = (outcome: JsonOutcome, status: number): boolean => outcome.kind === 'answered' && outcome.status === status;

const getWriteOutcome = (outcome: JsonOutcome): WriteOutcome => {
	const applied = parseReply(outcome, httpStatus.ok, revisionSchema);
	if (applied !== undefined) {
		return {kind: 'applied', revision: applied.revision};
	}

	const rejected = parseReply(outcome, httpStatus.rejected, revisionSchema);
	return rejected === undefined ? getFailure(outcome) : {kind: 'rejected', revision: rejected.revision};
};

const getLeaseOutcome = (outcome: JsonOutcome): LeaseOutcome => {
	const held = parseReply(outcome, httpStatus.ok, leaseSchema);
	if (held !== undefined) {
		return {kind: 'held', ...held};
	}

	return hasStatus(outcome, httpStatus.absent) ? {kind: 'lost'} : getFailure(outcome);
};

const getKeyPath = (key: string): string => `/v1/kv/${encodeURIComponent(key)}`;

/** Key-value service that is called over HTTP. */
export type KeyValueClient = KeyValueService & {close: () => void};

/** Creates a client of the key-value service. */
export const createKeyValueClient = (options: PlatformClientOptions): KeyValueClient => {
	const {call, close} = createJsonClient(options);
	return {
		close,
		async read(key) {
			const outcome = await call({method: 'GET', path: getKeyPath(key)});
			const entry = parseReply(outcome, httpStatus.ok, entrySchema);
			if (entry !== undefined) {
				return {kind: 'found', entry};
			}

			return hasStatus(outcome, httpStatus.absent) ? {kind: 'absent'} : getUnavailable(outcome);
		},
		async list(prefix) {
			const outcome = await call({method: 'GET', path: `/v1/kv?prefix=${encodeURIComponent(prefix)}`});
			const reply = parseReply(outcome, httpStatus.ok, listSchema);
			return reply === undefined ? getUnavailable(outcome) : {kind: 'found', entries: reply.entries};
		},
		async compareAndSwap({key, ...body}) {
			return getWriteOutcome(await call({method: 'PUT', path: getKeyPath(key), body}));
		},
		async remove(key, expected) {
			return getWriteOutcome(await call({method: 'DELETE', path: `${getKeyPath(key)}?expected=${expected}`}));
		},
		async watch(key, after, limit) {
			const path = `/v1/watch/${encodeURIComponent(key)}?after=${after}&limit=${limit}`;
			const outcome = await call({method: 'GET', path, timeoutExtension: limit});
			const entry = parseReply(outcome, httpStatus.ok, entrySchema);
			if (entry !== undefined) {
				return {kind: 'changed', entry};
			}

			return hasStatus(outcome, httpStatus.empty) ? {kind: 'unchanged'} : getUnavailable(outcome);
		},
		async grantLease(duration) {
			return getLeaseOutcome(await call({method: 'POST', path: '/v1/leases', body: {duration}}));
		},
		async renewLease(lease) {
			return getLeaseOutcome(await call({method: 'POST', path: `/v1/leases/${encodeURIComponent(lease)}/renew`}));
		},
		async endLease(lease) {
			const outcome = await call({method: 'DELETE', path: `/v1/leases/${encodeURIComponent(lease)}`});
			const hasEnded = hasStatus(outcome, httpStatus.ok) || hasStatus(outcome, httpStatus.absent);
			return hasEnded ? {kind: 'lost'} : getFailure(outcome);
		},
	};
};
