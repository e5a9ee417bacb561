import type {Clock} from '@gentianlift/clock';
import type {Entry, Milliseconds, WatchOutcome} from '@gentianlift/types';
import type {Store} from './store.js';

/** What a caller watches: a key, the revision that it knows, and how long it waits for a newer one. */
export type WatchRequest = {key: string; after: number; limit: Milliseconds};

/** Resolves on the first change of a key past a revision, or after `limit`. */
export const waitForChange = async (store: Store, clock: Clock, {key, after, limit}: WatchRequest): Promise<WatchOutcome> =>
	new Promise(resolve => {
		const getChange = (): Entry | undefined => {
			const entry = store.get(key);
			return entry !== undefined && entry.revision > after ? entry : undefined;
		};

		const finish = (outcome: WatchOutcome): void => {
			store.listeners.delete(check);
			cancel();
			resolve(outcome);
		};

		const check = (): void => {
			const entry = getChange();
			if (entry !== undefined) {
				finish({kind: 'changed', entry});
			}
		};

		const cancel = clock.after(limit, () => {
			finish({kind: 'unchanged'});
		});
		store.listeners.add(check);
		check();
	});
