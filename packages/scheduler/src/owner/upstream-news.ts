import type {Clock} from '@gentianlift/clock';
import type {
	CacheEvent, LoadReport, Milliseconds, UpstreamId,
} from '@gentianlift/types';
import {keepPrefixes} from './commands/entries.js';
import type {Standing, UpstreamState} from './state.js';

/** A report's own moment is believed if it lies at most this far back. */
const longestLag: Milliseconds = 10_000;

/** The latest news of upstreams, kept for groups that are created later. */
export type UpstreamNews = {
	applyLoadReport: (upstream: UpstreamId, report: LoadReport, states: Iterable<UpstreamState>) => void;
	applyStanding: (upstream: UpstreamId, standing: Standing, states: Iterable<UpstreamState>) => void;
	applyCacheEvents: (events: readonly CacheEvent[], states: Iterable<UpstreamState>) => void;
	/** Brings a new state up to date. */
	fill: (state: UpstreamState) => void;
};

type News = {standing?: Standing; load?: UpstreamState['load']};

/** Creates an empty store of news. */
export const createUpstreamNews = (clock: Clock): UpstreamNews => {
	const news = new Map<UpstreamId, News>();
	const fill = (state: UpstreamState): void => {
		const {standing, load} = news.get(state.upstream.id) ?? {};
		state.standing = standing ?? state.standing;
		if (load !== undefined) {
			state.load = load;
		}
	};

	const apply = (upstream: UpstreamId, change: News, states: Iterable<UpstreamState>): void => {
		news.set(upstream, {...news.get(upstream), ...change});
		for (const state of states) {
			fill(state);
		}
	};

	return {
		applyLoadReport(upstream, report, states) {
			apply(upstream, {load: getLoad(clock, report)}, states);
		},
		applyStanding(upstream, standing, states) {
			apply(upstream, {standing}, states);
		},
		applyCacheEvents(events, states) {
			for (const state of states) {
				for (const event of events) {
					applyCacheEvent(state, event);
				}
			}
		},
		fill,
	};
};

const getLoad = (clock: Clock, report: LoadReport): UpstreamState['load'] => {
	const receivedAt = clock.monotonic();
	const lag = clock.now() - report.at;
	return {report, receivedAt, at: receivedAt - (lag >= 0 && lag <= longestLag ? lag : 0)};
};

const applyCacheEvent = (state: UpstreamState, event: CacheEvent): void => {
	switch (event.kind) {
		case 'stored': {
			keepPrefixes(state, [event.chunk]);
			break;
		}

		case 'evicted': {
			state.prefixes.delete(event.chunk);
			break;
		}
	}
};
