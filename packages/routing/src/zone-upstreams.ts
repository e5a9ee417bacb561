import type {Zone} from '@gentianlift/types';

/** Fewest upstreams of its own that a zone needs for its load to decide; with fewer, one long prompt or one lost upstream takes a large part of them. */
export const minZoneUpstreams = 6;

/** Whether enough of some upstreams lie in a zone, and others in other zones. */
export const hasZoneUpstreams = (upstreams: Iterable<{zone: Zone}>, zone: Zone): boolean => {
	let own = 0;
	let others = 0;
	for (const upstream of upstreams) {
		if (upstream.zone === zone) {
			own += 1;
		} else {
			others += 1;
		}
	}

	return own >= minZoneUpstreams && others > 0;
};
