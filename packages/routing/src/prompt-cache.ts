import type {Prompt, PromptPart} from './prompt.js';

/** Fraction of an upstream's prompt cache that is assumed to be available to earlier prompts. */
const usableFraction = 0.8;

/** Most parts that are assumed to be cached, however few tokens they have. */
const maxCachedParts = 8192;

/** Cached tokens at the beginning of a prompt: all of them, and those in parts that other requests share. */
export type CachedTokens = {all: number; shared: number};

/** Estimate of what an upstream's prompt cache holds, with eviction of the least recently used parts. */
export type PromptCacheEstimate = {
	/** Adds the parts of a prompt that the upstream prefills. */
	add: (prompt: Pick<Prompt, 'model' | 'parts'>) => void;
	/** Sets the capacity, and evicts parts beyond it. */
	setCapacity: (capacityTokens: number) => void;
	/** Returns how many tokens at the beginning of the prompt are assumed to be cached, and how many of these belong to shared parts. */
	getCachedTokens: (prompt: Prompt) => CachedTokens;
	/** Returns whether the part is assumed to be cached. */
	has: (model: string, part: string) => boolean;
};

const getPartKey = (model: string, part: string): string => `${model}/${part}`;

/** Keys of a prompt's parts, cached because each decision looks them up for all upstreams of a service. */
const partKeyCache = new WeakMap<Prompt, string[]>();

const getPartKeys = (prompt: Prompt): string[] => {
	const cached = partKeyCache.get(prompt);
	if (cached !== undefined) {
		return cached;
	}

	const keys = prompt.parts.map(({id}) => getPartKey(prompt.model, id));
	partKeyCache.set(prompt, keys);
	return keys;
};

/** Creates the estimate for an empty cache of `capacityTokens` tokens. */
export const createPromptCacheEstimate = (capacityTokens: number): PromptCacheEstimate => {
	const cachedParts = new Map<string, number>();
	let maxTokens = capacityTokens * usableFraction;
	let totalTokens = 0;

	const remove = (key: string): void => {
		totalTokens -= cachedParts.get(key) ?? 0;
		cachedParts.delete(key);
	};

	const evictOldest = (): void => {
		for (const key of cachedParts.keys()) {
			if (totalTokens <= maxTokens && cachedParts.size <= maxCachedParts) {
				return;
			}

			remove(key);
		}
	};

	const addPart = (model: string, {id, tokens}: PromptPart): void => {
		const key = getPartKey(model, id);
		remove(key);
		cachedParts.set(key, tokens);
		totalTokens += tokens;
	};

	return {
		add({model, parts}) {
			// In reverse order, so that later parts are evicted first: a part is useless without those before it.
			for (const part of parts.toReversed()) {
				addPart(model, part);
			}

			evictOldest();
		},
		setCapacity(nextCapacityTokens) {
			maxTokens = nextCapacityTokens * usableFraction;
			evictOldest();
		},
		getCachedTokens(prompt) {
			const keys = getPartKeys(prompt);
			let all = 0;
			let shared = 0;
			let index = 0;
			for (const {tokens} of prompt.parts) {
				if (!cachedParts.has(keys[index] ?? '')) {
					break;
				}

				all += tokens;
				index += 1;
				shared += index < prompt.parts.length ? tokens : 0;
			}

			return {all, shared};
		},
		has: (model, part) => cachedParts.has(getPartKey(model, part)),
	};
};
