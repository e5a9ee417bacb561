import type {
	Address, ClassName, CustomerId, Milliseconds, ModelName, TierName, UpstreamId, Zone,
} from './ids.js';

/** What part of a generation an engine takes on. */
export const engineRoles = ['mixed', 'prefill', 'decode'] as const;
/** One of `engineRoles`. */
export type EngineRole = typeof engineRoles[number];

/** Whether an upstream refuses an order with an old fencing number, or ignores the number. */
export const fencingKinds = ['checked', 'ignored'] as const;
/** One of `fencingKinds`. */
export type Fencing = typeof fencingKinds[number];

/** A model engine of the asset register. */
export type Engine = {
	id: UpstreamId;
	address: Address;
	zone: Zone;
	/** Models that the engine may hold; which of them are loaded is in its load report. */
	models: ModelName[];
	adapters: ModelName[];
	role: EngineRole;
	accelerators: number;
	/** Generations that the engine runs at once before it queues. */
	slots: number;
	fencing: Fencing;
};

/** A model. */
export type Model = {
	name: ModelName;
	/** Size of the weights in bytes. */
	bytes: number;
	/** Longest context in tokens. */
	contextTokens: number;
};

/** An adapter on top of a model. */
export type Adapter = {
	name: ModelName;
	model: ModelName;
	bytes: number;
};

/** One process of an application service. */
export type ServiceInstance = {
	id: UpstreamId;
	address: Address;
	zone: Zone;
	/** Calls that the instance runs at once. */
	slots: number;
};

/** An application service that the system routes to under `/v1/services/<name>/`. */
export type Service = {
	name: string;
	instances: ServiceInstance[];
};

/** Limits of one customer, over all hosts. */
export type CustomerLimits = {
	requestsPerSecond: number;
	tokensPerSecond: number;
	concurrency: number;
};

/** A customer and the digests of its keys. */
export type Customer = {
	id: CustomerId;
	/** SHA-256 digests of the customer's keys, in lower-case hex. */
	keyDigests: string[];
	/** Share of service inside a tier, relative to the other customers. */
	weight: number;
	/** IANA name of the time zone in which the customer's hours are read. */
	timeZone: string;
	limits: CustomerLimits;
	/** Classes that the customer may ask for; the first is the default. */
	classes: ClassName[];
};

/** What the operators run, from their asset register. */
export type Inventory = {
	engines: Engine[];
	models: Model[];
	adapters: Adapter[];
	services: Service[];
	customers: Customer[];
};

/** A tier; tiers are listed from the highest to the lowest after validation. */
export type Tier = {
	name: TierName;
	/** Tiers that this tier outranks. */
	outranks: TierName[];
	/** Least share of each engine group's service that the tier gets while it waits, from 0 to 1. */
	floor: number;
};

/** Latency targets of a class; absent fields are not judged. */
export type Targets = {
	firstToken?: Milliseconds;
	betweenTokens?: Milliseconds;
	whole?: Milliseconds;
};

/** Targets in force from one time of day up to another, in the customer's time zone. */
export type HourlyTargets = {
	/** Start, `HH:MM`, inclusive. */
	from: string;
	/** End, `HH:MM`, exclusive; `24:00` is the end of the day. */
	to: string;
	targets: Targets;
};

/** How a request is recognised as one of the class; each present field must match. */
export type Match = {
	models?: ModelName[];
	service?: string;
	method?: string;
	pathPrefix?: string;
};

/** A class of requests. */
export type RequestClass = {
	name: ClassName;
	tier: TierName;
	/** False for a request that must run at most once. */
	idempotent: boolean;
	match: Match;
	hours: HourlyTargets[];
	/** Output length assumed until one is learned, in tokens. */
	expectedTokens: number;
	/** Retries allowed, as a share of the class's requests, over all hosts. */
	retryShare: number;
};

/** Rules on top of the inventory. */
export type Rules = {
	tiers: Tier[];
	classes: RequestClass[];
};

/** The operators' configuration. */
export type Configuration = {
	inventory: Inventory;
	rules: Rules;
};

/** A configuration that was accepted, with its place in the order of versions. */
export type ConfigurationVersion = {
	/** Rises by one with each accepted change; the first is 1. */
	version: number;
	/** Unique text of the write, which tells whether an ambiguous write took effect. */
	token: string;
	author: string;
	acceptedAt: Milliseconds;
	note: string;
	configuration: Configuration;
};
