import type {Milliseconds} from '@gentianlift/types';
import type {UpstreamKey} from './upstream.js';

/** A request that ran on an upstream when it crashed. The fingerprint is the same for each copy of the request. */
export type Crash = {fingerprint: string; upstream: UpstreamKey};

/** Crashes after which copies of a request are sent to no upstream. */
export const mostCrashes = 3;

/** How long a fingerprint stays recorded after its last crash. */
const suspectDuration: Milliseconds = 120_000;
/** Most fingerprints recorded. */
const mostSuspects = 1000;

type Suspect = {upstreams: Set<UpstreamKey>; expiresAt: Milliseconds};

/** Requests that ran on upstreams when these crashed. */
export type CrashSuspects = {
	/** Records a crash; false if it was known. */
	add: (crash: Crash, now: Milliseconds) => boolean;
	/** Clears a request that ran to its end; false if it wasn't recorded. */
	clear: (fingerprint: string) => boolean;
	isBlocked: (fingerprint: string, now: Milliseconds) => boolean;
	/** Tells whether any fingerprint is recorded, so that others need not be worked out. */
	isEmpty: () => boolean;
};

/** Creates an empty record. */
export const createCrashSuspects = (): CrashSuspects => {
	const suspects = new Map<string, Suspect>();

	const dropOld = (now: Milliseconds): void => {
		for (const [fingerprint, {expiresAt}] of suspects) {
			if (expiresAt <= now || suspects.size > mostSuspects) {
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
			suspects.set(fingerprint, {upstreams, expiresAt: now + suspectDuration});
			dropOld(now);
			return isNew;
		},
		clear: fingerprint => suspects.delete(fingerprint),
		isBlocked(fingerprint, now) {
			const suspect = suspects.get(fingerprint);
			return suspect !== undefined && suspect.expiresAt > now && suspect.upstreams.size >= mostCrashes;
		},
		isEmpty: () => suspects.size === 0,
	};
};
