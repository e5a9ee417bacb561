import type {EngineRole, Milliseconds, ModelName} from '@gentianlift/types';
import {createRandom, createSystemClock, type Clock} from '@gentianlift/clock';
import type {Place} from '../listener.js';

/** Settings of a model engine. */
export type EngineSettings = {
	models: ModelName[];
	adapters: ModelName[];
	role: EngineRole;
	slots: number;
	/** Time of one output token in an empty batch. */
	stepTime: Milliseconds;
	/** Time that each running generation adds to a step. */
	stepTimePerRunning: Milliseconds;
	prefillTokensPerSecond: number;
	/** Mean length of an answer whose prompt doesn't set it. */
	meanTokens: number;
	/** KV cache for running generations, in tokens. */
	cacheTokens: number;
	/** Prefix cache, in chunks. */
	cacheChunks: number;
	reportLag: Milliseconds;
	eventLag: Milliseconds;
	eventLoss: number;
	/** Whether orders with an old fencing number are refused. */
	fencing: 'checked' | 'ignored';
	weightStoreUrl: string | undefined;
	/** Bytes of each model and adapter. */
	bytes: Record<ModelName, number>;
	/** Speed of the engine's time against the clock's. */
	timeFactor: number;
	seed: number;
	clock: Clock;
};

/** Options of `createEngine`; absent ones take the defaults. */
export type EngineOptions = Partial<EngineSettings> & Place;

/** Gets the settings with defaults for what the options leave out. */
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
	reportLag: 500,
	eventLag: 300,
	eventLoss: 0.05,
	fencing: 'checked',
	weightStoreUrl: undefined,
	bytes: {},
	timeFactor: 1,
	seed: 1,
	clock: createSystemClock(),
	...options,
});

/** Creates the engine's source of random numbers. */
export const createEngineRandom = (settings: EngineSettings) => createRandom(settings.seed);
