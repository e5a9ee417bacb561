import type {Random} from '@gentianlift/clock';
import type {HostId} from '@gentianlift/types';

/** Order in which hosts are probed: rounds in random order, in each of which every host is probed once. */
export type ProbeOrder = {getNext: (present: HostId[]) => HostId | undefined};

/** Returns the items in random order. */
export const shuffle = <Item>(items: Item[], random: Random): Item[] => {
	const keyed = items.map(item => ({item, key: random.next()}));
	return keyed.toSorted((first, second) => first.key - second.key).map(({item}) => item);
};

/** Creates a probe order. A new host is inserted at a random position of the current round. */
export const createProbeOrder = (random: Random): ProbeOrder => {
	let round: HostId[] = [];
	let placed = new Set<HostId>();
	return {
		getNext(present) {
			const remaining = new Set(present);
			round = round.filter(host => remaining.has(host));
			if (round.length === 0) {
				round = shuffle(present, random);
				placed = new Set(present);
			}

			for (const host of present.filter(other => !placed.has(other))) {
				placed.add(host);
				round.splice(random.nextInt(round.length + 1), 0, host);
			}

			return round.pop();
		},
	};
};
