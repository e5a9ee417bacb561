import type {CacheEvent, Milliseconds} from '@gentianlift/types';
import type {Clock, Random} from '@gentianlift/clock';

/** Prefix cache of an engine; the chunk used longest ago goes first. */
export type PrefixCache = {
	/** Leading chunks of a prefix that are cached. */
	countCached: (prefix: string[]) => number;
	has: (chunk: string) => boolean;
	store: (prefix: string[]) => void;
	clear: () => void;
	getSize: () => number;
	/** Events after a sequence number, late and with gaps. */
	readEvents: (after: number) => {events: CacheEvent[]; next: number};
};

/** Limits and faults of a prefix cache. */
export type CacheOptions = {
	/** Chunks that fit. */
	chunks: number;
	/** Delay before an event is told. */
	eventLag: Milliseconds;
	/** Share of events that are lost. */
	eventLoss: number;
	clock: Clock;
	random: Random;
};

const keptEvents = 10_000;

/** Creates an empty prefix cache. */
export const createPrefixCache = (options: CacheOptions): PrefixCache => {
	const chunks = new Set<string>();
	let events: Array<CacheEvent & {at: Milliseconds}> = [];
	let sequence = 0;

	const record = (kind: CacheEvent['kind'], chunk: string): void => {
		sequence++;
		if (options.random.next() < options.eventLoss) {
			return;
		}

		events.push({
			sequence, kind, chunk, at: options.clock.monotonic(),
		});
		if (events.length > 2 * keptEvents) {
			events = events.slice(-keptEvents);
		}
	};

	const evict = (): void => {
		for (const chunk of chunks) {
			if (chunks.size <= options.chunks) {
				return;
			}

			chunks.delete(chunk);
			record('evicted', chunk);
		}
	};

	return {
		countCached(prefix) {
			const missing = prefix.findIndex(chunk => !chunks.has(chunk));
			return missing === -1 ? prefix.length : missing;
		},
		has: chunk => chunks.has(chunk),
		store(prefix) {
			for (const chunk of prefix) {
				if (!chunks.delete(chunk)) {
					record('stored', chunk);
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
			const until = options.clock.monotonic() - options.eventLag;
			const told = events.filter(event => event.sequence > after && event.at <= until);
			return {
				events: told.map(({sequence: number, kind, chunk}) => ({sequence: number, kind, chunk})),
				next: told.at(-1)?.sequence ?? after,
			};
		},
	};
};
