import type {UpstreamKey} from '@gentianlift/routing';

/** Incarnations of upstreams that leave, whatever their entries say. */
export type LeavingUpstreams = {
	has: (upstream: UpstreamKey) => boolean;
	/** Remembers an incarnation; returns whether that is news. */
	add: (upstream: UpstreamKey) => boolean;
};

/** Number of incarnations that are remembered; the oldest are forgotten first. */
const maxCount = 2000;

/** Creates it without incarnations. */
export const createLeavingUpstreams = (): LeavingUpstreams => {
	const leaving = new Set<UpstreamKey>();
	return {
		has: upstream => leaving.has(upstream),
		add(upstream) {
			if (leaving.has(upstream)) {
				return false;
			}

			leaving.add(upstream);
			for (const key of [...leaving].slice(0, -maxCount)) {
				leaving.delete(key);
			}

			return true;
		},
	};
};
