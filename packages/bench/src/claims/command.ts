import {defineCommand} from 'citty';
import {runLoad, type Load, type Result} from './run.js';

const columns = ['way', 'hosts', 'asked/s', 'started', 'refused', 'started/s', 'p50 ms', 'p95 ms', 'reads/b', 'writes/b', 'bytes/b', 'writes/s', 'unsettled'];
const microseconds = 1000;

const getLoads = (seed: number, seconds: number): Load[] => {
	const rates = [1, 10, 100].map(rate => ({
		hosts: 7, rate, seconds: rate === 1 ? seconds * 2 : seconds, seed,
	}));
	const sizes = [1, 24, 96].map(hosts => ({
		hosts, rate: 100, seconds, seed,
	}));
	const limit = {
		hosts: 7, rate: 0, seconds, seed,
	};
	return [
		...rates.flatMap(load => [{...load, mode: 'slots' as const}, {...load, mode: 'key-per-claim' as const}]),
		...[...sizes, ...rates.slice(2)].map(load => ({...load, mode: 'own-slots' as const})),
		...sizes.map(load => ({...load, mode: 'slots' as const})),
		{...limit, mode: 'slots'},
		{...limit, mode: 'own-slots'},
		{...limit, mode: 'key-per-claim'},
	];
};

const getRow = (result: Result): string => [
	result.mode,
	result.hosts,
	result.rate === 0 ? 'most' : result.rate,
	result.started,
	result.refused,
	result.startedPerSecond.toFixed(1),
	((result.latency?.p50 ?? 0) / microseconds).toFixed(1),
	((result.latency?.p95 ?? 0) / microseconds).toFixed(1),
	result.readsPerBooking.toFixed(2),
	result.writesPerBooking.toFixed(2),
	result.bytesPerBooking.toFixed(0),
	result.writesPerSecond.toFixed(1),
	result.unsettled,
].join(' | ');

/** Measures what claims cost, against a key for each claim and against slots without owners. */
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
			console.log(getRow(await runLoad(load)));
		}
	},
});
