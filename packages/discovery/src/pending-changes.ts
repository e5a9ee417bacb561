import type {StartedStream, SuspectedCrash, UpstreamKey} from '@gentianlift/routing';
import type {LoadReport, Prefill} from './load-report.js';
import type {ReportedLoad} from './load-tracker.js';

/** The parts of a load report that name what has changed. */
export type ReportedChanges = Pick<LoadReport, 'loads' | 'prefills' | 'crashes' | 'cleared' | 'streams'>;

/** What this host has yet to report to the others. Datagrams get lost, so that much of it is reported more than once. */
export type PendingChanges = {
	addLoad: (upstream: UpstreamKey) => void;
	addPrefill: (prefill: Prefill) => void;
	addStream: (stream: StartedStream) => void;
	addCrash: (crash: SuspectedCrash) => void;
	/** Adds a suspected request that has run to completion; its crash is no longer reported. */
	addClearedSuspect: (fingerprint: string) => void;
	/** Returns what the next report names, of all loads of this host; a full report repeats loads and streams. */
	getChanges: (ownLoads: readonly ReportedLoad[], isFull: boolean) => ReportedChanges;
	/** Records that a report has named what `getChanges` returned. */
	markReported: (isFull: boolean) => void;
};

/** Number of full reports that repeat a load after a change. */
const loadRepeats = 3;
/** Number of reports that carry a crash. */
const crashRepeats = 6;
/** Maximum number of streams in one report, which bounds its datagram. */
const maxReportedStreams = 400;
/** Maximum number of streams that wait for a report; beyond it the oldest are dropped, and their callers' other hosts have to ask. */
const maxPendingStreams = 4000;

/** Creates an empty list of changes. */
export const createPendingChanges = (): PendingChanges => {
	const changedUpstreams = new Set<UpstreamKey>();
	/** Number of full reports that have yet to repeat the load of an upstream. */
	const remainingRepeats = new Map<UpstreamKey, number>();
	let prefills: Prefill[] = [];
	/** Streams that no report has named yet. */
	let newStreams: StartedStream[] = [];
	/** Streams that the next full report names again. */
	let repeatedStreams: StartedStream[] = [];
	let crashes: Array<{crash: SuspectedCrash; remainingReports: number}> = [];
	let cleared: string[] = [];

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
			prefills.push(prefill);
		},
		addStream(stream) {
			newStreams.push(stream);
			newStreams = newStreams.slice(-maxPendingStreams);
		},
		addCrash(crash) {
			crashes.push({crash, remainingReports: crashRepeats});
		},
		addClearedSuspect(fingerprint) {
			crashes = crashes.filter(({crash}) => crash.fingerprint !== fingerprint);
			cleared.push(fingerprint);
		},
		getChanges: (ownLoads, isFull) => ({
			loads: ownLoads.filter(({upstream}) => isFull ? remainingRepeats.has(upstream) : changedUpstreams.has(upstream)),
			prefills,
			crashes: crashes.map(({crash}) => crash),
			cleared,
			streams: [...newStreams, ...(isFull ? repeatedStreams : [])].slice(0, maxReportedStreams),
		}),
		markReported(isFull) {
			changedUpstreams.clear();
			repeatedStreams = [...(isFull ? [] : repeatedStreams), ...newStreams.slice(0, maxReportedStreams)].slice(-maxReportedStreams);
			newStreams = newStreams.slice(maxReportedStreams);
			prefills = [];
			cleared = [];
			crashes = crashes.map(({crash, remainingReports}) => ({crash, remainingReports: remainingReports - 1})).filter(({remainingReports}) => remainingReports > 0);
			if (isFull) {
				countLoadRepeats();
			}
		},
	};
};
