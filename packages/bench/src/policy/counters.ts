import type {Address} from '@gentianlift/types';

/** Counters summed over all hosts, by name and labels as exposed on the metrics page. */
export type Counters = Map<string, number>;

const metricPrefix = 'gentianlift_';

/** Reads the metrics pages of the hosts and sums their counters. */
export const readCounters = async (addresses: readonly Address[]): Promise<Counters> => {
	const pages = await Promise.all(addresses.map(async address => readMetricsPage(address)));
	const sums: Counters = new Map();
	for (const line of pages.flatMap(page => page.split('\n'))) {
		const separatorIndex = line.lastIndexOf(' ');
		if (line.startsWith(metricPrefix) && !line.includes('quantile=')) {
			const name = line.slice(metricPrefix.length, separatorIndex);
			sums.set(name, (sums.get(name) ?? 0) + Number(line.slice(separatorIndex + 1)));
		}
	}

	return sums;
};

/** Returns the sum of the counters whose name and labels start with `start` and contain `part`. */
export const sumCounters = (counters: Counters, start: string, part = ''): number => {
	let sum = 0;
	for (const [name, value] of counters) {
		sum += name.startsWith(start) && name.includes(part) ? value : 0;
	}

	return sum;
};

const readMetricsPage = async (address: Address): Promise<string> => {
	const answer = await fetch(`http://${address}/metrics`);
	return answer.text();
};
