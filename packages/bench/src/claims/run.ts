import {setTimeout as sleep} from 'node:timers/promises';
import {createKeyValue} from '@gentianlift/fakes';
import {createRandom} from '@gentianlift/clock';
import {createMetrics, type Summary} from '@gentianlift/metrics';
import {
	createBooking, createFleet, type ClaimMode, type Fleet,
} from './fleet.js';

/** One measurement; a rate of 0 books as fast as it can. */
export type Load = {mode: ClaimMode; hosts: number; rate: number; seconds: number; seed: number};

/** What a measurement gave. Calls are those that the service counted. */
export type Result = Load & {
	started: number;
	refused: number;
	startedPerSecond: number;
	/** Time of a claim, in microseconds. */
	latency: Summary | undefined;
	readsPerBooking: number;
	writesPerBooking: number;
	bytesPerBooking: number;
	writesPerSecond: number;
	unsettled: number;
};

const service = {writesPerSecond: 400, readsPerSecond: 2000, callTime: 3};
const runTime = 50;
const bookersAtOnce = 400;
const microseconds = 1000;

type Count = {started: number; refused: number};

const book = async (fleet: Fleet, booking: ReturnType<typeof createBooking>, count: Count, record: (time: number) => void): Promise<void> => {
	const startedAt = performance.now();
	const isStarted = await fleet.claim(booking);
	if (!isStarted) {
		count.refused++;
		return;
	}

	record((performance.now() - startedAt) * microseconds);
	count.started++;
	await sleep(runTime);
	fleet.settle(booking);
};

const runOpen = async (load: Load, send: (sequence: number) => Promise<void>): Promise<void> => {
	const random = createRandom(load.seed);
	const end = performance.now() + (load.seconds * 1000);
	const sent: Array<Promise<void>> = [];
	for (let next = performance.now(); next < end; next -= Math.log(1 - random.next()) / load.rate * 1000) {
		// eslint-disable-next-line no-await-in-loop -- Bookings come at random moments of one rate.
		await sleep(Math.max(0, next - performance.now()));
		sent.push(send(sent.length));
	}

	await Promise.all(sent);
};

const runClosed = async (load: Load, send: (sequence: number) => Promise<void>): Promise<void> => {
	const end = performance.now() + (load.seconds * 1000);
	let sequence = 0;
	const bookers = Array.from({length: bookersAtOnce}, async () => {
		while (performance.now() < end) {
			// eslint-disable-next-line no-await-in-loop -- Each booker books again once it has its answer.
			await send(sequence++);
		}
	});
	await Promise.all(bookers);
};

/** Runs a measurement against a key-value service of its own. */
export const runLoad = async (load: Load): Promise<Result> => {
	const keyValue = await createKeyValue(service);
	const fleet = createFleet(load.mode, load.hosts, `http://${keyValue.listener.address}`);
	const random = createRandom(load.seed);
	const metrics = createMetrics();
	const count: Count = {started: 0, refused: 0};
	const send = async (sequence: number): Promise<void> => book(fleet, createBooking(sequence, load.hosts, random), count, time => {
		metrics.record('claim', time);
	});
	const startedAt = performance.now();
	await (load.rate === 0 ? runClosed(load, send) : runOpen(load, send));
	const seconds = (performance.now() - startedAt) / 1000;
	const startedPerSecond = count.started / seconds;
	const unsettled = await fleet.drain();
	const {reads, writes} = keyValue.counts;
	const all = Math.max(1, count.started);
	const result: Result = {
		...load,
		...count,
		startedPerSecond,
		latency: metrics.getSummary('claim'),
		readsPerBooking: reads / all,
		writesPerBooking: writes / all,
		bytesPerBooking: fleet.getWrittenBytes() / all,
		writesPerSecond: writes / seconds,
		unsettled,
	};
	fleet.close();
	await keyValue.close();
	return result;
};
