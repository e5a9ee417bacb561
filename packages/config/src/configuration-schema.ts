import {z} from 'zod';
import {engineRoles, fencingSupports, type Configuration} from '@gentianlift/types';
import {
	addressField, countField, durationField, fractionField, nameField, timeZoneField,
} from './fields.js';

const timeOfDayPattern = /^(?:[01]\d|2[0-3]):[0-5]\d$|^24:00$/v;
const digestPattern = /^[0-9a-f]{64}$/v;
const methodPattern = /^[A-Z]+$/v;

const engineSchema = z.strictObject({
	id: nameField,
	address: addressField,
	zone: nameField,
	models: z.array(nameField).min(1),
	adapters: z.array(nameField).default([]),
	role: z.enum(engineRoles).default('mixed'),
	accelerators: countField.default(1),
	slots: countField,
	fencing: z.enum(fencingSupports),
});

const modelSchema = z.strictObject({name: nameField, bytes: countField, contextTokens: countField});

const adapterSchema = z.strictObject({name: nameField, model: nameField, bytes: countField});

const instanceSchema = z.strictObject({
	id: nameField, address: addressField, zone: nameField, slots: countField,
});

const serviceSchema = z.strictObject({name: nameField, instances: z.array(instanceSchema).min(1)});

const limitsSchema = z.strictObject({
	requestsPerSecond: z.number().positive(),
	tokensPerSecond: z.number().positive(),
	concurrency: countField,
});

const customerSchema = z.strictObject({
	id: nameField,
	keyDigests: z.array(z.string().regex(digestPattern, 'a SHA-256 digest of 64 lower-case hex digits')).min(1),
	weight: z.number().positive().default(1),
	timeZone: timeZoneField,
	limits: limitsSchema,
	classes: z.array(nameField).min(1),
});

const tierSchema = z.strictObject({name: nameField, outranks: z.array(nameField).default([]), floor: fractionField.default(0)});

const targetsSchema = z.strictObject({
	firstToken: durationField.optional(),
	betweenTokens: durationField.optional(),
	whole: durationField.optional(),
});

const timeOfDayField = z.string().regex(timeOfDayPattern, 'a time of day HH:MM from 00:00 to 24:00');

const matchSchema = z.strictObject({
	models: z.array(nameField).optional(),
	service: nameField.optional(),
	method: z.string().regex(methodPattern, 'an HTTP method in upper case').optional(),
	pathPrefix: z.string().startsWith('/', 'a path that starts with /').optional(),
});

const requestClassSchema = z.strictObject({
	name: nameField,
	tier: nameField,
	idempotent: z.boolean(),
	match: matchSchema,
	hours: z.array(z.strictObject({from: timeOfDayField, to: timeOfDayField, targets: targetsSchema})).min(1),
	expectedTokens: countField.default(256),
	retryShare: fractionField.default(0.1),
});

/**
Schemas of the sections of a configuration.
Each section is also parsed separately, so that valid sections are checked further even when another one is invalid.
*/
export const sectionSchemas = {
	engines: z.array(engineSchema),
	models: z.array(modelSchema),
	adapters: z.array(adapterSchema).default([]),
	services: z.array(serviceSchema).default([]),
	customers: z.array(customerSchema).min(1),
	tiers: z.array(tierSchema).min(1),
	classes: z.array(requestClassSchema).min(1),
} as const;

/** Name of a section of a configuration. */
export type Section = keyof typeof sectionSchemas;

const {tiers, classes, ...inventorySchemas} = sectionSchemas;

/** Schema of the operators' configuration, with defaults. */
export const configurationSchema: z.ZodType<Configuration> = z.strictObject({
	inventory: z.strictObject(inventorySchemas),
	rules: z.strictObject({tiers, classes}),
});
