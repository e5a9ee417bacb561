import type {
	Entry, KeyValueService, LeaseOutcome, WriteOutcome,
} from '@gentianlift/types';
import {z} from 'zod';
import {createJsonClient, type JsonOutcome, type PlatformClientOptions} from './json-client.js';

const entrySchema: z.ZodType<Entry> = z.object({key: z.string(), value: z.string(), revision: z.number()});
const listSchema = z.object({entries: z.array(entrySchema)});
const revisionSchema = z.object({revision: z.number()});
const leaseSchema = z.object({lease: z.string(), expiresIn: z.number()});

const statuses = {
	ok: 200, empty: 204, absent: 404, rejected: 409, limited: 429, unavailable: 503,
};
const notApplied = new Set([statuses.limited, statuses.unavailable]);

type Failure = {kind: 'unavailable' | 'unknown'; reason: string};
type Unavailable = {kind: 'unavailable'; reason: string};

/** Gets why a call without effect gave no answer that can be used. */
const getUnavailable = (outcome: JsonOutcome): Unavailable =>
	({kind: 'unavailable', reason: outcome.kind === 'answered' ? `status ${outcome.status}` : outcome.reason});

/** Gets how a call with an effect failed: it may have taken effect unless the service says otherwise. */
const getFailure = (outcome: JsonOutcome): Failure => {
	if (outcome.kind !== 'answered') {
		return outcome;
	}

	return {kind: notApplied.has(outcome.status) ? 'unavailable' : 'unknown', reason: `status ${outcome.status}`};
};

const readReply = <Reply>(outcome: JsonOutcome, status: number, schema: z.ZodType<Reply>): Reply | undefined =>
	outcome.kind === 'answered' && outcome.status === status ? schema.safeParse(outcome.body).data : undefined;

const isStatus = (outcome: JsonOutcome, status: number): boolean => outcome.kind === 'answered' && outcome.status === status;

const getWriteOutcome = (outcome: JsonOutcome): WriteOutcome => {
	const applied = readReply(outcome, statuses.ok, revisionSchema);
	if (applied !== undefined) {
		return {kind: 'applied', revision: applied.revision};
	}

	const rejected = readReply(outcome, statuses.rejected, revisionSchema);
	return rejected === undefined ? getFailure(outcome) : {kind: 'rejected', revision: rejected.revision};
};

const getLeaseOutcome = (outcome: JsonOutcome): LeaseOutcome => {
	const held = readReply(outcome, statuses.ok, leaseSchema);
	if (held !== undefined) {
		return {kind: 'held', ...held};
	}

	return isStatus(outcome, statuses.absent) ? {kind: 'lost'} : getFailure(outcome);
};

const getPath = (key: string): string => `/v1/kv/${encodeURIComponent(key)}`;

/** A key-value service behind HTTP. */
export type KeyValueClient = KeyValueService & {close: () => void};

/** Creates a client of the key-value service. */
export const createKeyValueClient = (options: PlatformClientOptions): KeyValueClient => {
	const {call, close} = createJsonClient(options);
	return {
		close,
		async read(key) {
			const outcome = await call({method: 'GET', path: getPath(key)});
			const entry = readReply(outcome, statuses.ok, entrySchema);
			if (entry !== undefined) {
				return {kind: 'found', entry};
			}

			return isStatus(outcome, statuses.absent) ? {kind: 'absent'} : getUnavailable(outcome);
		},
		async list(prefix) {
			const outcome = await call({method: 'GET', path: `/v1/kv?prefix=${encodeURIComponent(prefix)}`});
			const reply = readReply(outcome, statuses.ok, listSchema);
			return reply === undefined ? getUnavailable(outcome) : {kind: 'found', entries: reply.entries};
		},
		async compareAndSwap({key, ...body}) {
			return getWriteOutcome(await call({method: 'PUT', path: getPath(key), body}));
		},
		async remove(key, expected) {
			return getWriteOutcome(await call({method: 'DELETE', path: `${getPath(key)}?expected=${expected}`}));
		},
		async watch(key, after, limit) {
			const path = `/v1/watch/${encodeURIComponent(key)}?after=${after}&limit=${limit}`;
			const outcome = await call({method: 'GET', path, extraTime: limit});
			const entry = readReply(outcome, statuses.ok, entrySchema);
			if (entry !== undefined) {
				return {kind: 'changed', entry};
			}

			return isStatus(outcome, statuses.empty) ? {kind: 'unchanged'} : getUnavailable(outcome);
		},
		async grantLease(duration) {
			return getLeaseOutcome(await call({method: 'POST', path: '/v1/leases', body: {duration}}));
		},
		async renewLease(lease) {
			return getLeaseOutcome(await call({method: 'POST', path: `/v1/leases/${encodeURIComponent(lease)}/renew`}));
		},
		async endLease(lease) {
			const outcome = await call({method: 'DELETE', path: `/v1/leases/${encodeURIComponent(lease)}`});
			const hasEnded = outcome.kind === 'answered' && !notApplied.has(outcome.status);
			return hasEnded ? {kind: 'lost'} : getFailure(outcome);
		},
	};
};
