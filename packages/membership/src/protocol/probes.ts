import type {Random} from '@gentianlift/clock';
import type {HostId} from '@gentianlift/types';

/** Which host to probe next, in rounds of random order, so that each is probed once a round. */
export type ProbeOrder = {getNext: (present: HostId[]) => HostId | undefined};

/** Puts items in random order. */
export const shuffle = <Item>(items: Item[], random: Random): Item[] => {
	const keyed = items.map(item => ({item, key: random.next()}));
	return keyed.toSorted((first, second) => first.key - second.key).map(({item}) => item);
};

/** Creates an order that starts at random; a new host gets a random place in the round under way. */
export const createProbeOrder = (random: Random): ProbeOrder => {
	let round: HostId[] = [];
	let placed = new Set<HostId>();
	return {
		getNext(present) {
			const left = new Set(present);
			round = round.filter(host => left.has(host));
			if (round.length === 0) {
				round = shuffle(present, random);
				placed = new Set(present);
			}

			for (const host of present.filter(other => !placed.has(other))) {
				placed.add(host);
				round.splice(random.below(round.length + 1), 0, host);
			}

			return round.pop();
		},
	};
};
