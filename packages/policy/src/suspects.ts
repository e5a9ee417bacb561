import type {Milliseconds, UpstreamId} from '@gentianlift/types';

/** Crashes after which a request is taken as their cause. */
export const guiltyCrashes = 2;

/** How long a fingerprint stays recorded after its last crash. */
export const suspectDuration: Milliseconds = 1_800_000;

/** Most fingerprints recorded. */
export const mostSuspects = 1000;

/** What is recorded of requests that ran on an upstream when it crashed. */
export type Suspect = {
	fingerprint: string;
	/** Upstreams that crashed while running it, in order; a repeat counts again. */
	crashes: UpstreamId[];
	expiresAt: Milliseconds;
};

/** Suspects by fingerprint. */
export type Suspects = ReadonlyMap<string, Suspect>;

/** How a request is treated. */
export type SuspectStanding = 'clear' | 'suspected' | 'guilty';

/** Gets how requests with the fingerprint are treated. */
export const getSuspectStanding = (suspects: Suspects, fingerprint: string, now: Milliseconds): SuspectStanding => {
	const suspect = suspects.get(fingerprint);
	if (suspect === undefined || suspect.expiresAt <= now) {
		return 'clear';
	}

	return suspect.crashes.length >= guiltyCrashes ? 'guilty' : 'suspected';
};

/** Records that an upstream crashed while running requests with the fingerprints. */
export const applyCrash = (suspects: Suspects, upstream: UpstreamId, fingerprints: readonly string[], now: Milliseconds): Suspects => {
	const next = new Map([...suspects].filter(([, suspect]) => suspect.expiresAt > now));
	for (const fingerprint of new Set(fingerprints)) {
		const crashes = [...next.get(fingerprint)?.crashes ?? [], upstream];
		next.delete(fingerprint);
		next.set(fingerprint, {fingerprint, crashes, expiresAt: now + suspectDuration});
	}

	return new Map([...next].slice(-mostSuspects));
};

/** Clears a fingerprint whose request finished while it ran alone among suspects. */
export const applyFinish = (suspects: Suspects, fingerprint: string): Suspects => {
	if (!suspects.has(fingerprint)) {
		return suspects;
	}

	const next = new Map(suspects);
	next.delete(fingerprint);
	return next;
};
