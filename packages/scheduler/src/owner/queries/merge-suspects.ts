import type {Suspects} from '@gentianlift/policy';

/** Returns the known suspects with the incoming ones; of two records of one fingerprint, the one with more crashes is kept. */
export const mergeSuspects = (known: Suspects, incoming: Suspects): Suspects => {
	const merged = new Map(known);
	for (const [fingerprint, received] of incoming) {
		const existing = known.get(fingerprint);
		if (existing === undefined || existing.crashes.length < received.crashes.length) {
			merged.set(fingerprint, received);
		}
	}

	return merged;
};
