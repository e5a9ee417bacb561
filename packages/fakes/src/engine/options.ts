import type {EngineRole, Milliseconds, ModelName} from '@gentianlift/types';
import {createRandom, createSystemClock, type Clock} from '@gentianlift/clock';
import type {ListenOptions} from '../listener.js';

/** Settings of a model engine. */
export type EngineSettings = {
	models: ModelName[];
	adapters: ModelName[];
	role: EngineRole;
	/** Maximum number of concurrent generations. */
	slots: number;
	/** Base time of a step, which generates one token of each running generation. */
	stepTime: Milliseconds;
	/** Additional time of a step for each running generation. */
	stepTimePerRunning: Milliseconds;
	prefillTokensPerSecond: number;
	/** Mean length of answers whose prompt doesn't set it. */
	meanTokens: number;
	/** Capacity of the KV cache for running generations, in tokens. */
	cacheTokens: number;
	/** Capacity of the prefix cache, in chunks. */
	cacheChunks: number;
	/** Delay until a load report is visible. */
	reportDelay: Milliseconds;
	/** Delay until a cache event is visible. */
	eventDelay: Milliseconds;
	/** Probability that a cache event is lost, from 0 to 1. */
	eventLossProbability: number;
	/** Whether orders with a stale fencing number are rejected. */
	fencing: 'checked' | 'ignored';
	weightStoreUrl: string | undefined;
	/** Size of the weights of each model and adapter, in bytes. */
	bytes: Record<ModelName, number>;
	/** Factor by which the engine's simulated time runs faster than the clock. */
	timeFactor: number;
	seed: number;
	clock: Clock;
};

/** Options of a fake engine; absent settings take their defaults. */
export type EngineOptions = Partial<EngineSettings> & ListenOptions;

/** Returns the settings, with defaults for absent options. */
export const getEngineSettings = (options: EngineOptions): EngineSettings => ({
	models: ['chat'],
	adapters: [],
	role: 'mixed',
	slots: 16,
	stepTime: 20,
	stepTimePerRunning: 0.5,
	prefillTokensPerSecond: 8000,
	meanTokens: 120,
	cacheTokens: 200_000,
	cacheChunks: 2000,
	reportDelay: 500,
	eventDelay: 300,
	eventLossProbability: 0.05,
	fencing: 'checked',
	weightStoreUrl: undefined,
	bytes: {},
	timeFactor: 1,
	seed: 1,
	clock: createSystemClock(),
	...options,
});

/** Creates the engine's random number generator. */
export const createEngineRandom = (settings: EngineSettings) => createRandom(settings.seed);
