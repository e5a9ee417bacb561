import type {CausedLoad, NoteExchange} from '@gentianlift/discovery';
import type {UpstreamKey} from '@gentianlift/routing';

/** What a request adds to the load of its upstream. */
export type LoadEntry = {
	/** Takes in that the prompt was read. */
	finishReading: () => void;
	/** Takes in that the request has ended. */
	end: () => void;
};

const noChange: CausedLoad = {
	running: 0, unreadTokens: 0, delicate: 0, awaitedTokens: 0,
};

/** Tells the other hosts how many prompt tokens wait at this host for an upstream. */
export const addAwaitedTokens = (notes: Pick<NoteExchange, 'addLoad'>, upstream: UpstreamKey, awaitedTokens: number): void => {
	notes.addLoad(upstream, {...noChange, awaitedTokens});
};

/** Starts to count a request; `delicate` is 1 if long prompts beside it make it late. */
export const startLoad = (notes: Pick<NoteExchange, 'addLoad'>, upstream: UpstreamKey, unreadTokens: number, delicate: 0 | 1): LoadEntry => {
	let unread = unreadTokens;
	const add = (change: Partial<CausedLoad>): void => {
		notes.addLoad(upstream, {...noChange, ...change});
	};

	add({running: 1, unreadTokens, delicate});
	const finishReading = (): void => {
		if (unread > 0) {
			add({unreadTokens: -unread});
			unread = 0;
		}
	};

	return {
		finishReading,
		end() {
			finishReading();
			add({running: -1, delicate: -delicate});
		},
	};
};
