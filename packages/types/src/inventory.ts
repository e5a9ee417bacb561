import type {
	Address, ClassName, CustomerId, Milliseconds, ModelName, TierName, UpstreamId, Zone,
} from './ids.js';

/** Phases of a generation that an engine executes: `prefill`, `decode`, or both (`mixed`). */
export const engineRoles = ['mixed', 'prefill', 'decode'] as const;
/** One of `engineRoles`. */
export type EngineRole = typeof engineRoles[number];

/** Whether an engine rejects an order with an old fencing number or ignores the number. */
export const fencingSupports = ['checked', 'ignored'] as const;
/** One of `fencingSupports`. */
export type FencingSupport = typeof fencingSupports[number];

/** A model engine, from the operators' asset register. */
export type Engine = {
	id: UpstreamId;
	address: Address;
	zone: Zone;
	/** Models that the engine may load; its load report lists those that are loaded. */
	models: ModelName[];
	adapters: ModelName[];
	role: EngineRole;
	accelerators: number;
	/** Number of generations that the engine runs concurrently; it queues any more. */
	slots: number;
	fencing: FencingSupport;
};

/** A language model. */
export type Model = {
	name: ModelName;
	/** Size of the weights in bytes. */
	bytes: number;
	/** Maximum length of the context in tokens. */
	contextTokens: number;
};

/** An adapter for a base model. */
export type Adapter = {
	name: ModelName;
	model: ModelName;
	bytes: number;
};

/** One instance of an application service. */
export type ServiceInstance = {
	id: UpstreamId;
	address: Address;
	zone: Zone;
	/** Number of calls that the instance executes concurrently. */
	slots: number;
};

/** An application service, whose calls are routed under `/v1/services/<name>/`. */
export type Service = {
	name: string;
	instances: ServiceInstance[];
};

/** Limits of one customer, enforced across all hosts. */
export type CustomerLimits = {
	requestsPerSecond: number;
	tokensPerSecond: number;
	concurrency: number;
};

/** A customer with the digests of its API keys. */
export type Customer = {
	id: CustomerId;
	/** SHA-256 digests of the customer's API keys, in lower-case hexadecimal. */
	keyDigests: string[];
	/** Weight in fair sharing among the customers of a tier. */
	weight: number;
	/** IANA name of the time zone to which the hours of latency targets refer. */
	timeZone: string;
	limits: CustomerLimits;
	/** Classes that the customer may use; the first is the default. */
	classes: ClassName[];
};

/** Engines, models, services and customers, from the operators' asset register. */
export type Inventory = {
	engines: Engine[];
	models: Model[];
	adapters: Adapter[];
	services: Service[];
	customers: Customer[];
};

/** A priority tier; after validation, tiers are listed from the highest to the lowest. */
export type Tier = {
	name: TierName;
	/** Tiers that have lower priority than this one. */
	outranks: TierName[];
	/** Guaranteed minimum fraction of each engine group's capacity while requests of the tier are queued, from 0 to 1. */
	floor: number;
};

/** Latency targets of a class; an absent field sets no target. */
export type Targets = {
	firstToken?: Milliseconds;
	betweenTokens?: Milliseconds;
	whole?: Milliseconds;
};

/** Latency targets that apply between two times of day in the customer's time zone. */
export type HourlyTargets = {
	/** Start as `HH:MM`, inclusive. */
	from: string;
	/** End as `HH:MM`, exclusive; `24:00` is the end of the day. */
	to: string;
	targets: Targets;
};

/** Condition under which a request belongs to a class; all fields that are present must match. */
export type ClassMatch = {
	models?: ModelName[];
	service?: string;
	method?: string;
	pathPrefix?: string;
};

/** A class of requests. */
export type RequestClass = {
	name: ClassName;
	tier: TierName;
	/** Whether requests of the class may run more than once. */
	idempotent: boolean;
	match: ClassMatch;
	hours: HourlyTargets[];
	/** Output length in tokens that is assumed until one has been estimated from requests. */
	expectedTokens: number;
	/** Maximum ratio of retries to requests of the class, across all hosts. */
	retryShare: number;
};

/** Tiers and classes by which requests are scheduled. */
export type Rules = {
	tiers: Tier[];
	classes: RequestClass[];
};

/** The operators' configuration. */
export type Configuration = {
	inventory: Inventory;
	rules: Rules;
};

/** An accepted configuration with its version number. */
export type ConfigurationVersion = {
	/** Starts at 1 and increases by one with each accepted change. */
	version: number;
	/** Unique token of the write, by which a writer detects whether a write with an unknown outcome took effect. */
	token: string;
	author: string;
	acceptedAt: Milliseconds;
	note: string;
	configuration: Configuration;
};
