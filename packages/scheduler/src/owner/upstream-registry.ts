import type {Clock} from '@gentianlift/clock';
import type {
	CacheEvent, LoadReport, Milliseconds, UpstreamId,
} from '@gentianlift/types';
import {recordCachedPrefixes} from './commands/entries.js';
import type {Standing, UpstreamState} from './state.js';

/** Maximum age of a load report whose timestamp is used; otherwise the report counts as taken on arrival. */
const maxReportLag: Milliseconds = 10_000;

/** The latest status and load of each upstream, kept for groups that are created later. */
export type UpstreamRegistry = {
	applyLoadReport: (upstream: UpstreamId, report: LoadReport, states: Iterable<UpstreamState>) => void;
	applyStanding: (upstream: UpstreamId, standing: Standing, states: Iterable<UpstreamState>) => void;
	applyCacheEvents: (events: readonly CacheEvent[], states: Iterable<UpstreamState>) => void;
	/** Sets the status and load of a new state to the latest that are known. */
	restore: (state: UpstreamState) => void;
};

type UpstreamSnapshot = {standing?: Standing; load?: UpstreamState['load']};

/** Creates an empty registry. */
export const createUpstreamRegistry = (clock: Clock): UpstreamRegistry => {
	const snapshots = new Map<UpstreamId, UpstreamSnapshot>();
	const restore = (state: UpstreamState): void => {
		const {standing, load} = snapshots.get(state.upstream.id) ?? {};
		state.standing = standing ?? state.standing;
		if (load !== undefined) {
			state.load = load;
		}
	};

	const apply = (upstream: UpstreamId, change: UpstreamSnapshot, states: Iterable<UpstreamState>): void => {
		snapshots.set(upstream, {...snapshots.get(upstream), ...change});
		for (const state of states) {
			restore(state);
		}
	};

	return {
		applyLoadReport(upstream, report, states) {
			apply(upstream, {load: createLoadSample(clock, report)}, states);
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
		restore,
	};
};

const createLoadSample = (clock: Clock, report: LoadReport): UpstreamState['load'] => {
	const receivedAt = clock.monotonic();
	const lag = clock.now() - report.at;
	return {report, receivedAt, measuredAt: receivedAt - (lag >= 0 && lag <= maxReportLag ? lag : 0)};
};

const applyCacheEvent = (state: UpstreamState, event: CacheEvent): void => {
	switch (event.kind) {
		case 'stored': {
			recordCachedPrefixes(state, [event.chunk]);
			break;
		}

		case 'evicted': {
			state.cachedPrefixes.delete(event.chunk);
			break;
		}
	}
};
