import type {
	GoodEnd, LimitNews, StartedStream, SuspectedCrash, UpstreamKey,
} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import type {LoadReport, Prefill} from './load-report.js';
import type {ReportedLoad} from './load-tracker.js';
import {createRepeatedItems} from './repeated-items.js';

/** The parts of a load report that name what has changed. */
export type ReportedChanges = Pick<LoadReport, 'loads' | 'prefills' | 'crashes' | 'goodEnds' | 'limits' | 'streams' | 'leaving'>;

/** What a report is built from, besides the changes. */
export type ReportState = {
	/** All loads of this host. */
	ownLoads: readonly ReportedLoad[];
	/** Whether the report repeats what has changed lately. */
	isFull: boolean;
	now: Milliseconds;
};

/** What this host has yet to report to the others. Datagrams get lost, so that much of it is reported more than once. */
export type PendingChanges = {
	addLoad: (upstream: UpstreamKey) => void;
	addPrefill: (prefill: Prefill) => void;
	addStream: (stream: StartedStream) => void;
	addCrash: (crash: SuspectedCrash, now: Milliseconds) => void;
	addGoodEnd: (goodEnd: GoodEnd, now: Milliseconds) => void;
	addLimit: (news: LimitNews, now: Milliseconds) => void;
	addLeaving: (upstream: UpstreamKey) => void;
	/** Returns what the next report names. */
	getChanges: (state: ReportState) => ReportedChanges;
	/** Records that a report has named what `getChanges` returned. */
	markReported: (isFull: boolean) => void;
};

/** Number of full reports that repeat a load after a change. */
const loadRepeats = 3;
/** Bounds on streams; callers' other hosts have to ask for those that are dropped. */
const streamLimits = {perReport: 400, pending: 4000, repeats: 1} as const;
/** Bounds on crashes and on good ends. */
const crashLimits = {perReport: 64, pending: 2000, repeats: 3} as const;

/** Bounds on changed limits, which full reports repeat in another way. */
const newsLimits = {perReport: 64, pending: 2000, repeats: 0} as const;

/** Bounds on upstreams that leave. */
const leavingLimits = {perReport: 64, pending: 2000, repeats: 3} as const;

/** Bounds on prompts that were sent: the characters of their parts in a report, and their number. Estimates suffer from those that are dropped. */
const prefillLimits = {charactersPerReport: 24_000, pending: 1000} as const;
/** Characters of a part in a report, besides its id. */
const charactersPerPart = 16;

const countCharacters = ({parts}: Prefill): number => parts.reduce((sum, {id}) => sum + id.length + charactersPerPart, 0);

/** Returns how many prompts fit into a report; the first one always does. */
const countFitting = (prefills: readonly Prefill[]): number => {
	let characters = 0;
	const next = prefills.findIndex((prefill, index) => {
		characters += countCharacters(prefill);
		return index > 0 && characters > prefillLimits.charactersPerReport;
	});
	return next === -1 ? prefills.length : next;
};

type Aged = {age: Milliseconds};
type Dated<Item> = {item: Item; since: Milliseconds};

const setDate = <Item extends Aged>(item: Item, now: Milliseconds): Dated<Item> => ({item, since: now - item.age});
const setAge = <Item extends Aged>({item, since}: Dated<Item>, now: Milliseconds): Item => ({...item, age: Math.round(now - since)});

/** Creates an empty list of changes. */
export const createPendingChanges = (): PendingChanges => {
	const changedUpstreams = new Set<UpstreamKey>();
	/** Number of full reports that have yet to repeat the load of an upstream. */
	const remainingRepeats = new Map<UpstreamKey, number>();
	let prefills: Prefill[] = [];
	const streams = createRepeatedItems<StartedStream>(streamLimits);
	const crashes = createRepeatedItems<Dated<SuspectedCrash>>(crashLimits);
	const goodEnds = createRepeatedItems<Dated<GoodEnd>>(crashLimits);
	const limits = createRepeatedItems<Dated<LimitNews>>(newsLimits);
	const leaving = createRepeatedItems<UpstreamKey>(leavingLimits);

	const countLoadRepeats = (): void => {
		for (const [upstream, left] of remainingRepeats) {
			if (left > 1) {
				remainingRepeats.set(upstream, left - 1);
			} else {
				remainingRepeats.delete(upstream);
			}
		}
	};

	return {
		addLoad(upstream) {
			changedUpstreams.add(upstream);
			remainingRepeats.set(upstream, loadRepeats);
		},
		addPrefill(prefill) {
			if (prefills.length < prefillLimits.pending) {
				prefills.push(prefill);
			}
		},
		addStream: streams.add,
		addCrash(crash, now) {
			crashes.add(setDate(crash, now));
		},
		addLimit(news, now) {
			limits.add(setDate(news, now));
		},
		addLeaving: leaving.add,
		addGoodEnd(goodEnd, now) {
			goodEnds.add(setDate(goodEnd, now));
		},
		getChanges: ({ownLoads, isFull, now}) => ({
			loads: ownLoads.filter(({upstream}) => isFull ? remainingRepeats.has(upstream) : changedUpstreams.has(upstream)),
			prefills: prefills.slice(0, countFitting(prefills)),
			crashes: crashes.getNext(isFull).map(crash => setAge(crash, now)),
			goodEnds: goodEnds.getNext(isFull).map(goodEnd => setAge(goodEnd, now)),
			limits: limits.getNext(isFull).map(news => setAge(news, now)),
			streams: streams.getNext(isFull),
			leaving: leaving.getNext(isFull),
		}),
		markReported(isFull) {
			changedUpstreams.clear();
			prefills = prefills.slice(countFitting(prefills));
			for (const items of [streams, crashes, goodEnds, limits, leaving]) {
				items.markReported(isFull);
			}

			if (isFull) {
				countLoadRepeats();
			}
		},
	};
};
