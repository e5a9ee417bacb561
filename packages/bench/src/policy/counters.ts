import type {Address} from '@gentianlift/types';

/** Sums of counters over all hosts, by name and labels as on the metrics page. */
export type Counters = Map<string, number>;

const prefix = 'gentianlift_';

/** Reads the metrics pages of hosts and adds their counters up. */
export const getCounters = async (addresses: readonly Address[]): Promise<Counters> => {
	const pages = await Promise.all(addresses.map(async address => readPage(address)));
	const sums: Counters = new Map();
	for (const line of pages.flatMap(page => page.split('\n'))) {
		const place = line.lastIndexOf(' ');
		if (line.startsWith(prefix) && !line.includes('quantile=')) {
			const name = line.slice(prefix.length, place);
			sums.set(name, (sums.get(name) ?? 0) + Number(line.slice(place + 1)));
		}
	}

	return sums;
};

/** Gets the sum of the counters whose name and labels start with a text, and contain another if given. */
export const getSum = (counters: Counters, start: string, part = ''): number => {
	let sum = 0;
	for (const [name, value] of counters) {
		sum += name.startsWith(start) && name.includes(part) ? value : 0;
	}

	return sum;
};

const readPage = async (address: Address): Promise<string> => {
	const answer = await fetch(`http://${address}/metrics`);
	return answer.text();
};
