import {getHash} from './hash.js';
import type {Prompt} from './prompt.js';
import {getUpstreamKey, type Upstream, type UpstreamKey} from './upstream.js';

/**
 * Gets the upstream that reads a prompt's shared parts where none is known to keep them: the same at all hosts,
 * and after a restart, so that parts are found again that no host remembers. Undefined without shared parts.
 */
export const getPromptHome = (prompt: Prompt, upstreams: readonly Upstream[]): UpstreamKey | undefined => {
	const shared = prompt.parts.at(-2)?.id;
	if (shared === undefined) {
		return undefined;
	}

	let home: UpstreamKey | undefined;
	let highest = -1;
	for (const upstream of upstreams) {
		// The id alone counts, as a restarted upstream is to keep its prompts.
		const weight = getHash(`${shared}/${upstream.id}`);
		if (weight > highest) {
			highest = weight;
			home = getUpstreamKey(upstream);
		}
	}

	return home;
};
