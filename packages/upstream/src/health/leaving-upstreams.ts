import type {Milliseconds, UpstreamId} from '@gentianlift/types';

/** Sources of the report that an upstream is leaving. */
export const leavingSources = ['list', 'upstream', 'operator'] as const;
/** One of `leavingSources`. */
export type LeavingSource = typeof leavingSources[number];

/** Upstreams that are leaving, by the sources that report it. */
export type LeavingUpstreams = {
	set: (upstream: UpstreamId, source: LeavingSource, isLeaving: boolean, now: Milliseconds) => void;
	has: (upstream: UpstreamId, now: Milliseconds) => boolean;
};

/** Time after which an upstream's own report that it is leaving expires unless it is renewed. */
const upstreamReportDuration: Milliseconds = 60_000;

/** Creates an empty set of leaving upstreams. */
export const createLeavingUpstreams = (): LeavingUpstreams => {
	const reportsByUpstream = new Map<UpstreamId, Map<LeavingSource, Milliseconds>>();
	return {
		set(upstream, source, isLeaving, now) {
			const reports = reportsByUpstream.get(upstream) ?? new Map<LeavingSource, Milliseconds>();
			reportsByUpstream.set(upstream, reports);
			if (isLeaving) {
				reports.set(source, now);
			} else {
				reports.delete(source);
			}
		},
		has(upstream, now) {
			const reports = reportsByUpstream.get(upstream);
			if (reports === undefined) {
				return false;
			}

			const reportedAt = reports.get('upstream') ?? now;
			if (now - reportedAt > upstreamReportDuration) {
				reports.delete('upstream');
			}

			return reports.size > 0;
		},
	};
};
