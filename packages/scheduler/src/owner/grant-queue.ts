import type {Queue, QueueAddOptions} from 'p-queue';
import type {UpstreamId} from '@gentianlift/types';
import type {TrackedTicket} from './state.js';

type Task = () => Promise<unknown>;

/** Options of a task in a group's queue. */
export type GrantQueueOptions = QueueAddOptions & {entry?: TrackedTicket};

/** An entry and the upstream that is chosen for it. */
export type Assignment = {entry: TrackedTicket; upstream: UpstreamId};

/** A custom queue for p-queue. */
export type GrantQueue = Queue<Task, GrantQueueOptions>;

/** Chooses the entries that leave a queue. */
export type EntrySelector = {
	/** Returns the entry to run next and its upstream; undefined while no upstream has a free slot for any entry. */
	selectNext: (entries: Iterable<TrackedTicket>) => Assignment | undefined;
	/** Called before the entry's task starts. */
	grantSlot: (assignment: Assignment) => void;
};

/**
 * Creates a queue class for p-queue that takes entries in the order of a selector.
 * Its size is 0 while no entry has a free slot, so that p-queue dequeues only tasks that can run.
 */
export const createQueueClass = (selector: EntrySelector): new () => GrantQueue => class {
	readonly #tasks = new Map<TrackedTicket, Task>();
	#next: Assignment | undefined;

	get size(): number {
		this.#next = this.#tasks.size === 0 ? undefined : selector.selectNext(this.#tasks.keys());
		return this.#next === undefined ? 0 : this.#tasks.size;
	}

	enqueue(task: Task, options?: Partial<GrantQueueOptions>): void {
		if (options?.entry !== undefined) {
			this.#tasks.set(options.entry, task);
		}
	}

	dequeue(): Task | undefined {
		const next = this.#next ?? selector.selectNext(this.#tasks.keys());
		this.#next = undefined;
		if (next === undefined) {
			return undefined;
		}

		const task = this.#tasks.get(next.entry);
		this.#tasks.delete(next.entry);
		selector.grantSlot(next);
		return task;
	}

	filter(): Task[] {
		return [...this.#tasks.values()];
	}

	setPriority(): void {
		// The selector orders entries by their tickets; the priorities of p-queue are not used.
	}

	remove(id: string): void {
		for (const entry of this.#tasks.keys()) {
			if (entry.key === id) {
				this.#tasks.delete(entry);
			}
		}
	}
};
