import type {CustomerId, Milliseconds} from '@gentianlift/types';
import {listCounts, type CountItem, type CountSource} from './count-message.js';
import {dropWindowsBefore, raiseCount, type WindowCounts} from './window-counts.js';

/** Counts of all hosts, as a candidate of the duty knows them. */
export type FleetCounts = {
	/** Takes counts in; those that are known already, or higher, change nothing. */
	apply: (items: readonly CountItem[]) => void;
	/** Returns the requests of each customer in a window; undefined if nothing is known of it. */
	sum: (window: number) => Record<CustomerId, number> | undefined;
	/** Lists the counts of the sources that a condition holds for. */
	list: (isIncluded: (source: CountSource) => boolean) => CountItem[];
	/** Records that all counts are known of what has run since a time, if no earlier one is known. */
	markComplete: (since: Milliseconds) => void;
	/** Records whether this host is a candidate: one that has become so knows all counts from then on, and one that no longer is gets no more. */
	setCandidate: (isCandidate: boolean, now: Milliseconds) => void;
	/** Returns since when all counts are known, in true time; infinity if that isn't known. */
	getCompleteSince: () => Milliseconds;
	/** Returns since when this host has been a candidate, in true time; infinity if it isn't one. */
	getCandidateSince: () => Milliseconds;
	/** Returns the first window of which counts are known; infinity if there is none. */
	getFirstWindow: () => number;
	dropBefore: (window: number) => void;
};

/** Most windows and processes of hosts whose counts are kept; beyond them, new ones are ignored. */
const limits = {windows: 64, sources: 4000} as const;

/** Creates the counts of a fleet of which nothing is known. */
export const createFleetCounts = (): FleetCounts => {
	const sources = new Map<string, {source: CountSource; counts: WindowCounts}>();
	let completeSince = Number.POSITIVE_INFINITY;
	let candidateSince = Number.POSITIVE_INFINITY;

	const getCounts = ({host, incarnation}: CountItem): WindowCounts | undefined => {
		const key = `${host}/${incarnation}`;
		const known = sources.get(key)?.counts;
		if (known !== undefined || sources.size >= limits.sources) {
			return known;
		}

		const counts: WindowCounts = new Map();
		sources.set(key, {source: {host, incarnation}, counts});
		return counts;
	};

	return {
		apply(items) {
			for (const item of items) {
				const counts = getCounts(item);
				if (counts !== undefined && (counts.has(item.window) || counts.size < limits.windows)) {
					raiseCount(counts, item.window, item.customer, item.count);
				}
			}
		},
		sum(window) {
			const known = [...sources.values()].flatMap(({counts}) => counts.get(window) ?? []);
			if (known.length === 0) {
				return undefined;
			}

			const sums = new Map<CustomerId, number>();
			for (const counts of known) {
				for (const [customer, count] of counts) {
					sums.set(customer, (sums.get(customer) ?? 0) + count);
				}
			}

			return Object.fromEntries([...sums].toSorted(([one], [other]) => one < other ? -1 : 1));
		},
		list: isIncluded => [...sources.values()].filter(({source}) => isIncluded(source)).flatMap(({source, counts}) => listCounts(source, counts, counts.keys())),
		markComplete(since) {
			completeSince = Math.min(completeSince, since);
		},
		setCandidate(isCandidate, now) {
			candidateSince = isCandidate ? Math.min(candidateSince, now) : Number.POSITIVE_INFINITY;
			completeSince = isCandidate ? Math.min(completeSince, now) : Number.POSITIVE_INFINITY;
		},
		getCompleteSince: () => completeSince,
		getCandidateSince: () => candidateSince,
		getFirstWindow: () => Math.min(Number.POSITIVE_INFINITY, ...[...sources.values()].flatMap(({counts}) => [...counts.keys()])),
		dropBefore(window) {
			for (const [key, {counts}] of sources) {
				dropWindowsBefore(counts, window);
				if (counts.size === 0) {
					sources.delete(key);
				}
			}
		},
	};
};
