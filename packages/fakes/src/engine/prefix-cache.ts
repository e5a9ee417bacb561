import type {CacheEvent, Milliseconds} from '@gentianlift/types';
import type {Clock, Random} from '@gentianlift/clock';

/** Prefix cache of an engine, which evicts the least recently used chunks. */
export type PrefixCache = {
	/** Returns the number of leading chunks of a prefix that are cached. */
	countCached: (prefix: string[]) => number;
	has: (chunk: string) => boolean;
	/** Caches the chunks of a prefix or marks them as used. */
	store: (prefix: string[]) => void;
	/** Drops all chunks without events, as a crash does. */
	clear: () => void;
	getSize: () => number;
	/** Returns the visible events past a sequence number, and the number from which to continue. Events are delayed and may be lost. */
	readEvents: (after: number) => {events: CacheEvent[]; next: number};
};

/** Options of a prefix cache. */
export type PrefixCacheOptions = {
	/** Capacity in chunks. */
	maxChunks: number;
	/** Delay until an event is visible. */
	eventDelay: Milliseconds;
	/** Probability that an event is lost, from 0 to 1. */
	eventLossProbability: number;
	clock: Clock;
	random: Random;
};

/** Number of latest events that are kept; the log is trimmed when it reaches twice as many. */
const retainedEvents = 10_000;

/** Creates an empty prefix cache. */
export const createPrefixCache = (options: PrefixCacheOptions): PrefixCache => {
	const chunks = new Set<string>();
	let events: Array<CacheEvent & {at: Milliseconds}> = [];
	let sequence = 0;

	const recordEvent = (kind: CacheEvent['kind'], chunk: string): void => {
		sequence++;
		if (options.random.next() < options.eventLossProbability) {
			return;
		}

		events.push({
			sequence, kind, chunk, at: options.clock.monotonic(),
		});
		if (events.length > 2 * retainedEvents) {
			events = events.slice(-retainedEvents);
		}
	};

	const evict = (): void => {
		for (const chunk of chunks) {
			if (chunks.size <= options.maxChunks) {
				return;
			}

			chunks.delete(chunk);
			recordEvent('evicted', chunk);
		}
	};

	return {
		countCached(prefix) {
			const firstMissing = prefix.findIndex(chunk => !chunks.has(chunk));
			return firstMissing === -1 ? prefix.length : firstMissing;
		},
		has: chunk => chunks.has(chunk),
		store(prefix) {
			for (const chunk of prefix) {
				if (!chunks.delete(chunk)) {
					recordEvent('stored', chunk);
				}

				chunks.add(chunk);
			}

			evict();
		},
		clear() {
			chunks.clear();
		},
		getSize: () => chunks.size,
		readEvents(after) {
			const until = options.clock.monotonic() - options.eventDelay;
			const visibleEvents = events.filter(event => event.sequence > after && event.at <= until);
			return {
				events: visibleEvents.map(({sequence: eventSequence, kind, chunk}) => ({sequence: eventSequence, kind, chunk})),
				next: visibleEvents.at(-1)?.sequence ?? after,
			};
		},
	};
};
