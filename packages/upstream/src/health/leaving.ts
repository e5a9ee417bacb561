import type {Milliseconds, UpstreamId} from '@gentianlift/types';

/** Who says that an upstream is leaving. */
export const leavingSources = ['list', 'upstream', 'operator'] as const;
/** One of `leavingSources`. */
export type LeavingSource = typeof leavingSources[number];

/** Upstreams that are leaving, by who says so. */
export type Leaving = {
	set: (upstream: UpstreamId, source: LeavingSource, isLeaving: boolean, now: Milliseconds) => void;
	has: (upstream: UpstreamId, now: Milliseconds) => boolean;
};

/** Time for which an upstream's own word stands without being renewed. */
const refusalDuration: Milliseconds = 60_000;

/** Creates an empty set. */
export const createLeaving = (): Leaving => {
	const sources = new Map<UpstreamId, Map<LeavingSource, Milliseconds>>();
	return {
		set(upstream, source, isLeaving, now) {
			const known = sources.get(upstream) ?? new Map<LeavingSource, Milliseconds>();
			sources.set(upstream, known);
			if (isLeaving) {
				known.set(source, now);
			} else {
				known.delete(source);
			}
		},
		has(upstream, now) {
			const known = sources.get(upstream);
			if (known === undefined) {
				return false;
			}

			const saidAt = known.get('upstream') ?? now;
			if (now - saidAt > refusalDuration) {
				known.delete('upstream');
			}

			return known.size > 0;
		},
	};
};
