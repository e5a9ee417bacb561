import {expect, test} from 'vitest';
import {
	getArrivals, getFlows, getReport, formatTable, getTimeZone, readExample, type CallRecord,
} from '../index.js';

const loadShape = {
	flows: getFlows('kopi'), rate: 1, seconds: 20, seed: 1,
};

test('arrivals are in order of time and the same for the same seed', () => {
	const arrivals = getArrivals(loadShape);
	expect(getArrivals(loadShape)).toEqual(arrivals);
	expect(arrivals.map(({at}) => at)).toEqual(arrivals.map(({at}) => at).toSorted((left, right) => left - right));
	expect(getArrivals({...loadShape, seed: 2})).not.toEqual(arrivals);
});

test('flows use customers, classes and keys of the example configurations', async () => {
	for (const name of ['kopi', 'alfoldi'] as const) {
		// eslint-disable-next-line no-await-in-loop -- Only two small files are read.
		const {configuration, keys} = await readExample(name);
		const {customers} = configuration.inventory;
		const allowed = getFlows(name).flatMap(flow => flow.customers.map(id =>
			customers.find(customer => customer.id === id)?.classes.includes(flow.className) === true && keys.has(id)));
		expect(allowed).not.toContain(false);
	}
});

test('finds a time zone for each hour of the day', () => {
	const noon = 12 * 3_600_000;
	const getHour = (timeZone: string) => new Intl.DateTimeFormat('en', {hour: 'numeric', hourCycle: 'h23', timeZone}).format(noon);
	expect(Array.from({length: 24}, (_, hour) => Number(getHour(getTimeZone(noon, hour)))))
		.toEqual(Array.from({length: 24}, (_, hour) => hour));
});

test('counts only answers that meet all targets as attained, and counts wasted tokens', async () => {
	const {configuration} = await readExample('kopi');
	const record: CallRecord = {
		className: 'quote', customer: 'a', scheduledAt: 0, outcome: 'complete', errors: [], retries: 0, status: 200, ran: 'ran', request: 'r',
		timeToFirstToken: 700, timeToCompletion: 5000, meanInterTokenLatency: 50, tokens: 80,
	};
	const engines = new Map([['e', {getState: () => ({tokensByTag: {quote: 200}})}]]) as never;
	const report = getReport({
		records: [record, {...record, timeToFirstToken: 900}, {...record, meanInterTokenLatency: 80}, {...record, outcome: 'failed', errors: ['queue-full']}],
		configuration, fakes: {engines, services: new Map()}, time: '09:00',
	});
	expect(report.classes[0]).toMatchObject({
		className: 'quote', sent: 4, complete: 3, attainment: 0.25, goodput: 0.2, wasted: 0, failed: 1,
	});
	expect(report.errors).toEqual({'queue-full': 1});
});

test('aligns columns', () => {
	expect(formatTable([['class', 'n'], ['a', '10']])).toBe('class   n\na      10');
});
