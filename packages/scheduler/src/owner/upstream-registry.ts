import type {Clock} from '@gentianlift/clock';
import type {
	CacheEvent, EngineLoadReport, Milliseconds, UpstreamAvailability, UpstreamId,
} from '@gentianlift/types';
import {recordCachedPrefixes} from './commands/entries.js';
import type {UpstreamState} from './state.js';

/** Maximum age of a load report whose timestamp is used; otherwise the report counts as taken on arrival. */
const maxReportLag: Milliseconds = 10_000;

/** The latest status and load of each upstream, kept for groups that are created later. */
export type UpstreamRegistry = {
	applyLoadReport: (upstream: UpstreamId, report: EngineLoadReport, states: Iterable<UpstreamState>) => void;
	applyAvailability: (upstream: UpstreamId, availability: UpstreamAvailability, states: Iterable<UpstreamState>) => void;
	applyCacheEvents: (events: readonly CacheEvent[], states: Iterable<UpstreamState>) => void;
	/** Sets the status and load of a new state to the latest that are known. */
	restore: (state: UpstreamState) => void;
};

type UpstreamSnapshot = {availability?: UpstreamAvailability; load?: UpstreamState['load']};

/** Creates an empty registry. */
export const createUpstreamRegistry = (clock: Clock): UpstreamRegistry => {
	const snapshots = new Map<UpstreamId, UpstreamSnapshot>();
	const restore = (state: UpstreamState): void => {
		const {availability, load} = snapshots.get(state.upstream.id) ?? {};
		state.availability = availability ?? state.availability;
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
		applyAvailability(upstream, availability, states) {
			apply(upstream, {availability}, states);
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

const createLoadSample = (clock: Clock, report: EngineLoadReport): UpstreamState['load'] => {
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
