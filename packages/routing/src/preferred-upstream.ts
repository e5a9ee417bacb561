import {getHash} from './hash.js';
import type {Prompt} from './prompt.js';
import {getUpstreamKey, type Upstream, type UpstreamKey} from './upstream.js';

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

	let preferred: UpstreamKey | undefined;
	let highestWeight = -1;
	for (const upstream of upstreams) {
		// Only the id is hashed, so that an upstream gets the same prompts after a restart.
		const weight = getHash(`${shared}/${upstream.id}`);
		if (weight > highestWeight) {
			highestWeight = weight;
			preferred = getUpstreamKey(upstream);
		}
	}

	return preferred;
};
