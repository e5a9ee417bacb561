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
	};
};
