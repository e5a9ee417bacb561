import type {UpstreamId} from '@gentianlift/types';
import {getHash} from './hash.js';
import type {Prompt} from './prompt.js';
import {getUpstreamKey, type Upstream, type UpstreamKey} from './upstream.js';

/** Weights of upstreams by their ids for each prompt, cached because a waiting call is decided on many times. */
const weightCache = new WeakMap<Prompt, Map<UpstreamId, number>>();

const getWeights = (prompt: Prompt): Map<UpstreamId, number> => {
	const weights = weightCache.get(prompt) ?? new Map<UpstreamId, number>();
	weightCache.set(prompt, weights);
	return weights;
};

/**
 * Returns the upstream that is preferred for a prompt whose shared parts aren't known to be cached anywhere, by
 * rendezvous hashing. All hosts choose the same one, also after a restart of the host or the upstream, so a request still
 * finds parts that are cached there but that no host remembers. Undefined if the prompt has no shared parts.
 */
export const getPreferredUpstream = (prompt: Prompt, upstreams: readonly Upstream[]): UpstreamKey | undefined => {
	const shared = prompt.parts.at(-2)?.id;
	if (shared === undefined) {
		return undefined;
	}

	const weights = getWeights(prompt);
	let preferred: UpstreamKey | undefined;
	let highestWeight = -1;
	for (const upstream of upstreams) {
		// Only the id is hashed, so that an upstream gets the same prompts after a restart.
		const weight = weights.get(upstream.id) ?? getHash(`${shared}/${upstream.id}`);
		weights.set(upstream.id, weight);
		if (weight > highestWeight) {
			highestWeight = weight;
			preferred = getUpstreamKey(upstream);
		}
	}

	return preferred;
};
