import type {Milliseconds, UpstreamId} from '@gentianlift/types';

/** Number of crashes after which a request is considered their cause. */
export const minGuiltyCrashes = 2;

/** Time after its last crash for which a fingerprint is kept. */
export const suspectLifetime: Milliseconds = 1_800_000;

/** Maximum number of fingerprints kept. */
export const maxSuspects = 1000;

/** A request, by its fingerprint, that was running on an upstream when the upstream crashed. */
export type Suspect = {
	fingerprint: string;
	/** Upstreams that crashed while running it, in order; an upstream that crashed again is listed again. */
	crashes: UpstreamId[];
	expiresAt: Milliseconds;
};

/** Suspects by fingerprint. */
export type Suspects = ReadonlyMap<string, Suspect>;

/** How a request is treated: suspected ones run isolated from other suspects, guilty ones are refused. */
export type SuspectStatus = 'clear' | 'suspected' | 'guilty';

/** Returns how requests with the fingerprint are treated. */
export const getSuspectStatus = (suspects: Suspects, fingerprint: string, now: Milliseconds): SuspectStatus => {
	const suspect = suspects.get(fingerprint);
	if (suspect === undefined || suspect.expiresAt <= now) {
		return 'clear';
	}

	return suspect.crashes.length >= minGuiltyCrashes ? 'guilty' : 'suspected';
};

/** Records that an upstream crashed while it ran requests with the fingerprints; returns the new suspects. */
export const addCrash = (suspects: Suspects, upstream: UpstreamId, fingerprints: readonly string[], now: Milliseconds): Suspects => {
	const next = new Map([...suspects].filter(([, suspect]) => suspect.expiresAt > now));
	for (const fingerprint of new Set(fingerprints)) {
		const crashes = [...next.get(fingerprint)?.crashes ?? [], upstream];
		next.delete(fingerprint);
		next.set(fingerprint, {fingerprint, crashes, expiresAt: now + suspectLifetime});
	}

	return new Map([...next].slice(-maxSuspects));
};

/** Removes a fingerprint whose request finished while isolated; returns the new suspects. */
export const removeSuspect = (suspects: Suspects, fingerprint: string): Suspects => {
	if (!suspects.has(fingerprint)) {
		return suspects;
	}

	const next = new Map(suspects);
	next.delete(fingerprint);
	return next;
};
