import type {Queue, QueueAddOptions} from 'p-queue';
import type {UpstreamId} from '@gentianlift/types';
import type {Entry} from './state.js';

type Run = () => Promise<unknown>;

/** Options of a run in a group's queue. */
export type GrantQueueOptions = QueueAddOptions & {entry?: Entry};

/** The entry to run next and where. */
export type Pick = {entry: Entry; upstream: UpstreamId};

/** A queue class for p-queue. */
export type GrantQueue = Queue<Run, GrantQueueOptions>;

/** What decides the order of a queue. */
export type Picker = {
	/** The entry to run next; undefined while none of them has a free slot. */
	getNext: (entries: Iterable<Entry>) => Pick | undefined;
	/** Called before the entry is run. */
	place: (pick: Pick) => void;
};

/**
 * Creates a queue class for p-queue whose order is the picker's.
 * Its size counts only while some entry has a slot to run in, so that p-queue asks for nothing that can't run.
 */
export const createQueueClass = (picker: Picker): new () => GrantQueue => class {
	readonly #runs = new Map<Entry, Run>();
	#next: Pick | undefined;

	get size(): number {
		this.#next = this.#runs.size === 0 ? undefined : picker.getNext(this.#runs.keys());
		return this.#next === undefined ? 0 : this.#runs.size;
	}

	enqueue(run: Run, options?: Partial<GrantQueueOptions>): void {
		if (options?.entry !== undefined) {
			this.#runs.set(options.entry, run);
		}
	}

	dequeue(): Run | undefined {
		const next = this.#next ?? picker.getNext(this.#runs.keys());
		this.#next = undefined;
		if (next === undefined) {
			return undefined;
		}

		const run = this.#runs.get(next.entry);
		this.#runs.delete(next.entry);
		picker.place(next);
		return run;
	}

	filter(): Run[] {
		return [...this.#runs.values()];
	}

	setPriority(): void {
		// The picker orders entries by their tickets; priorities of p-queue play no part.
	}

	remove(id: string): void {
		for (const entry of this.#runs.keys()) {
			if (entry.key === id) {
				this.#runs.delete(entry);
			}
		}
	}
};
