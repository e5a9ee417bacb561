import {getEra, type Fleet} from '@gentianlift/discovery';
import type {Metrics} from '@gentianlift/metrics';

/** Records what this host knows of the store, and what of it names nothing. */
export const recordStoreState = (metrics: Metrics, {view, countOversizedReplies}: Pick<Fleet, 'view' | 'countOversizedReplies'>): void => {
	const foreign = view.getForeignTotals();
	metrics.setGauge('entries_unreadable', view.countInvalidEntries());
	metrics.setGauge('entries_foreign', foreign.entries);
	metrics.setGauge('entries_foreign_characters', foreign.length);
	metrics.setGauge('entries_foreign_read_total', foreign.entriesRead);
	metrics.setGauge('entries_foreign_read_characters_total', foreign.lengthRead);
	metrics.setGauge('entries_held', view.countEntries());
	metrics.setGauge('view_incomplete', view.isIncomplete() ? 1 : 0);
	metrics.setGauge('store_replies_oversized_total', countOversizedReplies());
	metrics.setGauge('store_era', getEra(view.getRevision()));
};
