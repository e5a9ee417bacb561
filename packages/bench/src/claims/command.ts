import {defineCommand} from 'citty';
import {runLoad, type Load, type LoadResult} from './run.js';

const columns = ['way', 'hosts', 'asked/s', 'started', 'refused', 'started/s', 'p50 ms', 'p95 ms', 'reads/b', 'writes/b', 'bytes/b', 'writes/s', 'unsettled'];
const microsecondsPerMillisecond = 1000;

const getLoads = (seed: number, seconds: number): Load[] => {
	const rateLoads = [1, 10, 100].map(rate => ({
		hosts: 7, rate, seconds: rate === 1 ? seconds * 2 : seconds, seed,
	}));
	const hostCountLoads = [1, 24, 96].map(hosts => ({
		hosts, rate: 100, seconds, seed,
	}));
	const saturated = {
		hosts: 7, rate: 0, seconds, seed,
	};
	return [
		...rateLoads.flatMap(load => [{...load, mode: 'slots' as const}, {...load, mode: 'key-per-claim' as const}]),
		...[...hostCountLoads, ...rateLoads.slice(2)].map(load => ({...load, mode: 'own-slots' as const})),
		...hostCountLoads.map(load => ({...load, mode: 'slots' as const})),
		{...saturated, mode: 'slots'},
		{...saturated, mode: 'own-slots'},
		{...saturated, mode: 'key-per-claim'},
	];
};

const formatRow = (result: LoadResult): string => [
	result.mode,
	result.hosts,
	result.rate === 0 ? 'most' : result.rate,
	result.started,
	result.refused,
	result.startedPerSecond.toFixed(1),
	((result.latency?.p50 ?? 0) / microsecondsPerMillisecond).toFixed(1),
	((result.latency?.p95 ?? 0) / microsecondsPerMillisecond).toFixed(1),
	result.readsPerBooking.toFixed(2),
	result.writesPerBooking.toFixed(2),
	result.bytesPerBooking.toFixed(0),
	result.writesPerSecond.toFixed(1),
	result.unsettled,
].join(' | ');

/** Measures the cost of claims in slots with owners, compared with one key per claim and with slots without owners. */
export const claims = defineCommand({
	meta: {name: 'claims', description: 'Latency, calls and bytes of a claim, and bookings a second at the limits of the service'},
	args: {
		seed: {type: 'string', description: 'Seed of the arrivals', default: '1'},
		seconds: {type: 'string', description: 'Length of each measurement', default: '10'},
	},
	async run({args}) {
		console.log(`${columns.join(' | ')}\n${columns.map(() => '---').join(' | ')}`);
		for (const load of getLoads(Number(args.seed), Number(args.seconds))) {
			// eslint-disable-next-line no-await-in-loop -- Measurements run one after another.
			console.log(formatRow(await runLoad(load)));
		}
	},
});
