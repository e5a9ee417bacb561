import {dropOldest, setLast} from '@gentianlift/routing';
import type {HostId, Incarnation, Milliseconds} from '@gentianlift/types';
import type {LoadReport} from './load-report.js';

/** What is known about another host from its latest load report. */
export type HostStatus = Pick<LoadReport, 'incarnation' | 'sequence' | 'revision' | 'isStopping' | 'configurationVersion'> & {
	/** When the report was received. */
	reportedAt: Milliseconds;
	/** The previous incarnation; its late reports are ignored. */
	supersededIncarnation: Incarnation | undefined;
};

/** Tracks the status of each host by its load reports. */
export type HostStatusTracker = {
	/** Records a report; returns false if a newer one of the host is known. */
	apply: (report: LoadReport, now: Milliseconds) => boolean;
	get: (host: HostId) => HostStatus | undefined;
	getAll: () => HostStatus[];
	/** Returns the highest number that `getNumber` finds in reports received after a time; undefined if there is none. */
	getHighest: (after: Milliseconds, getNumber: (status: HostStatus) => number | undefined) => number | undefined;
	/** Returns when the last report of any host was received; negative infinity without one. */
	getLatestReportTime: () => Milliseconds;
};

/**
 * Returns whether the report is older than the known status. Incarnations are compared for equality only: they are
 * taken from the wall clock, which may step back, so that a newer one may be the smaller number.
 */
const isOutdated = (report: LoadReport, known: HostStatus): boolean =>
	report.incarnation === known.incarnation ? report.sequence <= known.sequence : report.incarnation === known.supersededIncarnation;

/** Number of hosts whose status is kept; those that have reported longest ago are forgotten first. */
const maxHosts = 2000;

/** Creates a tracker that knows no hosts. */
export const createHostStatusTracker = (): HostStatusTracker => {
	const statuses = new Map<HostId, HostStatus>();
	return {
		apply(report, now) {
			const known = statuses.get(report.host);
			if (known !== undefined && isOutdated(report, known)) {
				return false;
			}

			const {
				incarnation, sequence, revision, isStopping, configurationVersion,
			} = report;
			const supersededIncarnation = known?.incarnation === incarnation ? known.supersededIncarnation : known?.incarnation;
			setLast(statuses, report.host, {
				incarnation, sequence, revision, isStopping, configurationVersion, reportedAt: now, supersededIncarnation,
			});
			dropOldest(statuses, maxHosts);
			return true;
		},
		get: host => statuses.get(host),
		getAll: () => [...statuses.values()],
		getHighest(after, getNumber) {
			let highest: number | undefined;
			for (const status of statuses.values()) {
				const number = status.reportedAt > after ? getNumber(status) : undefined;
				if (number !== undefined && number > (highest ?? Number.NEGATIVE_INFINITY)) {
					highest = number;
				}
			}

			return highest;
		},
		getLatestReportTime() {
			let latest = Number.NEGATIVE_INFINITY;
			for (const {reportedAt} of statuses.values()) {
				latest = Math.max(latest, reportedAt);
			}

			return latest;
		},
	};
};
