import type {Milliseconds} from '@gentianlift/types';
import type {UpstreamKey} from './upstream.js';

/** A crash of an upstream, and the fingerprint of a request that ran on it and may have caused it. All copies of a request have the same fingerprint. */
export type SuspectedCrash = {fingerprint: string; upstream: UpstreamKey};

/** Number of crashed upstreams after which a request is blocked. */
export const maxCrashes = 3;

/** Time after its last crash for which a fingerprint is kept. */
const suspectLifetime: Milliseconds = 120_000;
/** Maximum number of fingerprints kept. */
const maxSuspects = 1000;

type Suspect = {upstreams: Set<UpstreamKey>; expiresAt: Milliseconds};

/** Registry of requests that may have crashed the upstreams that ran them. */
export type CrashSuspects = {
	/** Records a crash; returns false if it was recorded before. */
	add: (crash: SuspectedCrash, now: Milliseconds) => boolean;
	/** Removes a request that has completed; returns false if it wasn't recorded. */
	clear: (fingerprint: string) => boolean;
	/** Whether the request crashed so many upstreams that it must not be sent to another one. */
	isBlocked: (fingerprint: string, now: Milliseconds) => boolean;
	/** Whether no fingerprint is recorded, in which case none has to be computed for a check. */
	isEmpty: () => boolean;
};

/** Creates an empty registry. */
export const createCrashSuspects = (): CrashSuspects => {
	const suspects = new Map<string, Suspect>();

	const evictSuspects = (now: Milliseconds): void => {
		for (const [fingerprint, {expiresAt}] of suspects) {
			if (expiresAt <= now || suspects.size > maxSuspects) {
				suspects.delete(fingerprint);
			}
		}
	};

	return {
		add({fingerprint, upstream}, now) {
			const upstreams = suspects.get(fingerprint)?.upstreams ?? new Set();
			const isNew = !upstreams.has(upstream);
			upstreams.add(upstream);
			suspects.delete(fingerprint);
			suspects.set(fingerprint, {upstreams, expiresAt: now + suspectLifetime});
			evictSuspects(now);
			return isNew;
		},
		clear: fingerprint => suspects.delete(fingerprint),
		isBlocked(fingerprint, now) {
			const suspect = suspects.get(fingerprint);
			return suspect !== undefined && suspect.expiresAt > now && suspect.upstreams.size >= maxCrashes;
		},
		isEmpty: () => suspects.size === 0,
	};
};
