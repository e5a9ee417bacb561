import {z} from 'zod';
import {engineRoles, fencingKinds, type Configuration} from '@gentianlift/types';
import {
	addressField, countField, durationField, nameField, shareField, timeZoneField,
} from './fields.js';

const timeOfDay = /^(?:[01]\d|2[0-3]):[0-5]\d$|^24:00$/v;
const digest = /^[0-9a-f]{64}$/v;
const method = /^[A-Z]+$/v;

const engine = z.strictObject({
	id: nameField,
	address: addressField,
	zone: nameField,
	models: z.array(nameField).min(1),
	adapters: z.array(nameField).default([]),
	role: z.enum(engineRoles).default('mixed'),
	accelerators: countField.default(1),
	slots: countField,
	fencing: z.enum(fencingKinds),
});

const model = z.strictObject({name: nameField, bytes: countField, contextTokens: countField});

const adapter = z.strictObject({name: nameField, model: nameField, bytes: countField});

const instance = z.strictObject({
	id: nameField, address: addressField, zone: nameField, slots: countField,
});

const service = z.strictObject({name: nameField, instances: z.array(instance).min(1)});

const limits = z.strictObject({
	requestsPerSecond: z.number().positive(),
	tokensPerSecond: z.number().positive(),
	concurrency: countField,
});

const customer = z.strictObject({
	id: nameField,
	keyDigests: z.array(z.string().regex(digest, 'a SHA-256 digest of 64 lower-case hex digits')).min(1),
	weight: z.number().positive().default(1),
	timeZone: timeZoneField,
	limits,
	classes: z.array(nameField).min(1),
});

const tier = z.strictObject({name: nameField, outranks: z.array(nameField).default([]), floor: shareField.default(0)});

const targets = z.strictObject({
	firstToken: durationField.optional(),
	betweenTokens: durationField.optional(),
	whole: durationField.optional(),
});

const time = z.string().regex(timeOfDay, 'a time of day HH:MM from 00:00 to 24:00');

const match = z.strictObject({
	models: z.array(nameField).optional(),
	service: nameField.optional(),
	method: z.string().regex(method, 'an HTTP method in upper case').optional(),
	pathPrefix: z.string().startsWith('/', 'a path that starts with /').optional(),
});

const requestClass = z.strictObject({
	name: nameField,
	tier: nameField,
	idempotent: z.boolean(),
	match,
	hours: z.array(z.strictObject({from: time, to: time, targets})).min(1),
	expectedTokens: countField.default(256),
	retryShare: shareField.default(0.1),
});

/** Shapes of the parts of a configuration that are checked on their own. */
export const sectionSchemas = {
	engines: z.array(engine),
	models: z.array(model),
	adapters: z.array(adapter).default([]),
	services: z.array(service).default([]),
	customers: z.array(customer).min(1),
	tiers: z.array(tier).min(1),
	classes: z.array(requestClass).min(1),
} as const;

/** A part of a configuration that is checked on its own. */
export type Section = keyof typeof sectionSchemas;

const {tiers, classes, ...inventory} = sectionSchemas;

/** Shape and defaults of the operators' configuration. */
export const configurationSchema: z.ZodType<Configuration> = z.strictObject({
	inventory: z.strictObject(inventory),
	rules: z.strictObject({tiers, classes}),
});
