import type {NoteExchange} from '@gentianlift/discovery';
import type {UpstreamKey} from '@gentianlift/routing';

/** What a request adds to the load of its upstream. */
export type LoadEntry = {
	/** Takes in that the prompt was read. */
	finishReading: () => void;
	/** Takes in that the request has ended. */
	end: () => void;
};

/** Starts to count a request; `delicate` is 1 if long prompts beside it make it late. */
export const startLoad = (notes: Pick<NoteExchange, 'addLoad'>, upstream: UpstreamKey, unreadTokens: number, delicate: 0 | 1): LoadEntry => {
	let unread = unreadTokens;
	notes.addLoad(upstream, {running: 1, unreadTokens, delicate});
	const finishReading = (): void => {
		if (unread > 0) {
			notes.addLoad(upstream, {running: 0, unreadTokens: -unread, delicate: 0});
			unread = 0;
		}
	};

	return {
		finishReading,
		end() {
			finishReading();
			notes.addLoad(upstream, {running: -1, unreadTokens: 0, delicate: -delicate});
		},
	};
};
