import type {Milliseconds} from '@gentianlift/types';

/** How fast an upstream reads prompts, learnt from the time to the first token. */
export type ReadingSpeed = {
	/** Takes in that the first token came after `duration` when `tokens` had to be read before it. */
	addSample: (tokens: number, duration: Milliseconds) => void;
	/** Tokens per millisecond. */
	get: () => number;
};

/** Speed that is assumed before the first sample, in tokens per millisecond. */
export const defaultReadingSpeed = 40;
/** Fewer tokens say little, as the time for the first token itself weighs more. */
const leastTokens = 4000;
/** Share of the newest sample in the moving mean. */
const newestShare = 0.1;
/** Bounds in tokens per millisecond, so that one odd sample does no harm. */
const bounds = {least: 4, most: 400};

/** Creates a speed without samples. */
export const createReadingSpeed = (): ReadingSpeed => {
	let speed = defaultReadingSpeed;
	return {
		addSample(tokens, duration) {
			if (tokens < leastTokens || duration <= 0) {
				return;
			}

			const sample = Math.min(bounds.most, Math.max(bounds.least, tokens / duration));
			speed = (speed * (1 - newestShare)) + (sample * newestShare);
		},
		get: () => speed,
	};
};
