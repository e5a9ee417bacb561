/** Keys of facts that are still to be passed on, each a bounded number of times. */
export type Rumours = {
	/** Passes a fact on from the start; an urgent one also by extra messages. */
	add: (key: string, isUrgent: boolean) => void;
	remove: (key: string) => void;
	/** Keys, those passed on least first. */
	getKeys: () => string[];
	/** Notes that a fact was put in a message. */
	markSent: (key: string, limit: number) => void;
	/** Whether an urgent fact has been sent fewer times than `times`. */
	hasUrgent: (times: number) => boolean;
};

type Rumour = {sent: number; isUrgent: boolean};

/** Creates an empty set of rumours. */
export const createRumours = (): Rumours => {
	const rumours = new Map<string, Rumour>();
	return {
		add(key, isUrgent) {
			const isStillUrgent = rumours.get(key)?.isUrgent ?? false;
			rumours.set(key, {sent: 0, isUrgent: isUrgent || isStillUrgent});
		},
		remove(key) {
			rumours.delete(key);
		},
		getKeys: () => [...rumours].toSorted(([, first], [, second]) => first.sent - second.sent).map(([key]) => key),
		markSent(key, limit) {
			const rumour = rumours.get(key);
			if (rumour === undefined) {
				return;
			}

			rumour.sent++;
			if (rumour.sent >= limit) {
				rumours.delete(key);
			}
		},
		hasUrgent: times => [...rumours.values()].some(rumour => rumour.isUrgent && rumour.sent < times),
	};
};
