/** Keys of facts queued for dissemination; each fact is transmitted a bounded number of times. */
export type DisseminationQueue = {
	/** Queues a fact and resets its transmission count; an urgent fact is also sent in gossip messages between probes. */
	add: (key: string, isUrgent: boolean) => void;
	remove: (key: string) => void;
	/** Returns the keys, those with the fewest transmissions first. */
	getKeys: () => string[];
	/** Records that a fact was put into a packet; removes the fact after `limit` transmissions. */
	recordTransmission: (key: string, limit: number) => void;
	/** Returns whether an urgent fact has been transmitted fewer than `limit` times. */
	hasUrgentFact: (limit: number) => boolean;
};

type QueuedFact = {transmissions: number; isUrgent: boolean};

/** Creates an empty queue. */
export const createDisseminationQueue = (): DisseminationQueue => {
	const facts = new Map<string, QueuedFact>();
	return {
		add(key, isUrgent) {
			const wasUrgent = facts.get(key)?.isUrgent ?? false;
			facts.set(key, {transmissions: 0, isUrgent: isUrgent || wasUrgent});
		},
		remove(key) {
			facts.delete(key);
		},
		getKeys: () => [...facts].toSorted(([, first], [, second]) => first.transmissions - second.transmissions).map(([key]) => key),
		recordTransmission(key, limit) {
			const fact = facts.get(key);
			if (fact === undefined) {
				return;
			}

			fact.transmissions++;
			if (fact.transmissions >= limit) {
				facts.delete(key);
			}
		},
		hasUrgentFact: limit => [...facts.values()].some(fact => fact.isUrgent && fact.transmissions < limit),
	};
};
