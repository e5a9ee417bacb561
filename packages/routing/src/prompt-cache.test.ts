import {expect, test} from 'vitest';
import {createPromptCacheEstimate} from './prompt-cache.js';

const buildParts = (prompt: number, count: number) => Array.from({length: count}, (_, part) => ({id: `${prompt}-${part}`, tokens: 0}));

// Guards against: parts without tokens are never evicted, so that callers' prompts fill the memory of all hosts.
test('the number of parts that are assumed to be cached is bounded', () => {
	const cache = createPromptCacheEstimate(1000);
	for (let prompt = 0; prompt < 1000; prompt++) {
		cache.add({model: 'm', parts: buildParts(prompt, 100)});
	}

	const cached = Array.from({length: 1000}, (_, prompt) => buildParts(prompt, 100)).flat().filter(({id}) => cache.has('m', id));
	expect(cached.length).toBeLessThanOrEqual(10_000);
	expect(cache.has('m', '999-0')).toBe(true);
	expect(cache.has('m', '0-0')).toBe(false);
});
