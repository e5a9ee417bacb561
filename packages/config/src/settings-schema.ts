import {z} from 'zod';
import type {Settings} from '@gentianlift/types';
import {
	addressField, countField, durationField, nameField, urlField,
} from './fields.js';

/** Minimum number of characters of a key that hosts share to authenticate each other. */
const minPeerKeyLength = 16;

/** Limits on the connections and requests of callers; timeouts in milliseconds. */
const callerLimitsSchema = z.strictObject({
	headerBytes: countField.default(16 * 1024),
	bodyBytes: countField.default(4 * 1024 * 1024),
	headerTimeout: durationField.default(10_000),
	bodyTimeout: durationField.default(30_000),
	connections: countField.default(20_000),
});

/** Silence timeouts in milliseconds, by the other side of a call and the phase of its response. */
const silenceLimitsSchema = z.strictObject({
	caller: durationField.default(60_000),
	firstToken: durationField.default(60_000),
	betweenTokens: durationField.default(10_000),
	service: durationField.default(30_000),
	peer: durationField.default(2000),
	platform: durationField.default(2500),
	watch: durationField.default(5000),
});

const seedSchema = z.strictObject({
	host: nameField,
	peerAddress: addressField,
	gossipAddress: addressField,
});

/** Schema of the settings of one router process, with defaults. */
export const settingsSchema: z.ZodType<Settings> = z.strictObject({
	host: nameField,
	zone: nameField,
	callerAddress: addressField,
	operatorAddress: addressField,
	peerAddress: addressField,
	gossipAddress: addressField,
	peerKeys: z.array(z.string().min(minPeerKeyLength)).min(1),
	seeds: z.array(seedSchema).default([]),
	keyValueUrl: urlField,
	hostListUrl: urlField,
	weightStoreUrl: urlField,
	logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
	addressTimeToLive: durationField.default(5000),
	gracePeriod: durationField.optional(),
	callerLimits: callerLimitsSchema.prefault({}),
	silenceLimits: silenceLimitsSchema.prefault({}),
	seed: z.int().optional(),
	order: z.enum(['policy', 'first-in-first-out', 'least-outstanding']).default('policy'),
	without: z.array(nameField).default([]),
});
