import type {Clock} from '@gentianlift/clock';
import {getUpstreamKey, type Upstream, type UpstreamKey} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import {probeConnection} from '../send/connection-probe.js';

/** Detects whether an upstream has crashed after a connection to it was lost. */
export type CrashDetector = {
	/** Resolves to true if the upstream refuses or resets a new connection, and other hosts say that they don't reach it. Concurrent calls for one upstream share a probe. */
	detectCrash: (upstream: Upstream) => Promise<boolean>;
};

/** Delay after a connection loss; a crashed process no longer listens by then. */
const probeDelay: Milliseconds = 20;
/** Time without a result after which an upstream counts as not crashed. */
const probeTimeout: Milliseconds = 300;

/** Creates a detector; `isAwayForOthers` says whether other hosts don't reach an upstream either to which this host's connections fail. */
export const createCrashDetector = (clock: Clock, isAwayForOthers: (upstream: Upstream) => Promise<boolean>): CrashDetector => {
	const pendingProbes = new Map<UpstreamKey, Promise<boolean>>();

	const probe = async (upstream: Upstream): Promise<boolean> => {
		await clock.sleep(probeDelay);
		try {
			return await probeConnection(upstream.address, probeTimeout, clock) === 'refused' && await isAwayForOthers(upstream);
		} finally {
			pendingProbes.delete(getUpstreamKey(upstream));
		}
	};

	return {
		async detectCrash(upstream) {
			const key = getUpstreamKey(upstream);
			const pending = pendingProbes.get(key) ?? probe(upstream);
			pendingProbes.set(key, pending);
			return pending;
		},
	};
};
