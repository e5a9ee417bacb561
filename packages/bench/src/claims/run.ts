import {setTimeout as sleep} from 'node:timers/promises';
import {createKeyValue} from '@gentianlift/fakes';
import {createRandom} from '@gentianlift/clock';
import {createMetrics, type Summary} from '@gentianlift/metrics';
import {
	createBooking, createFleet, type ClaimMode, type Fleet,
} from './fleet.js';

/** Load of one measurement. `rate` is in bookings per second; 0 runs a closed loop of concurrent bookers that measures the maximum. */
export type Load = {mode: ClaimMode; hosts: number; rate: number; seconds: number; seed: number};

/** Result of a measurement. Reads and writes are counted by the key-value service. */
export type LoadResult = Load & {
	started: number;
	refused: number;
	startedPerSecond: number;
	/** Latency of a claim, in microseconds. */
	latency: Summary | undefined;
	readsPerBooking: number;
	writesPerBooking: number;
	bytesPerBooking: number;
	writesPerSecond: number;
	unsettled: number;
};

const keyValueOptions = {writesPerSecond: 400, readsPerSecond: 2000, callTime: 3};
const upstreamRunTimeMs = 50;
const concurrentBookers = 400;
const microsecondsPerMillisecond = 1000;

type BookingCounts = {started: number; refused: number};

const runBooking = async (fleet: Fleet, booking: ReturnType<typeof createBooking>, counts: BookingCounts, record: (time: number) => void): Promise<void> => {
	const startedAt = performance.now();
	const isStarted = await fleet.claim(booking);
	if (!isStarted) {
		counts.refused++;
		return;
	}

	record((performance.now() - startedAt) * microsecondsPerMillisecond);
	counts.started++;
	await sleep(upstreamRunTimeMs);
	fleet.settle(booking);
};

const runOpenLoop = async (load: Load, send: (sequence: number) => Promise<void>): Promise<void> => {
	const random = createRandom(load.seed);
	const end = performance.now() + (load.seconds * 1000);
	const sent: Array<Promise<void>> = [];
	for (let next = performance.now(); next < end; next -= Math.log(1 - random.next()) / load.rate * 1000) {
		// eslint-disable-next-line no-await-in-loop -- Bookings arrive one after another as a Poisson process.
		await sleep(Math.max(0, next - performance.now()));
		sent.push(send(sent.length));
	}

	await Promise.all(sent);
};

const runClosedLoop = async (load: Load, send: (sequence: number) => Promise<void>): Promise<void> => {
	const end = performance.now() + (load.seconds * 1000);
	let sequence = 0;
	const bookers = Array.from({length: concurrentBookers}, async () => {
		while (performance.now() < end) {
			// eslint-disable-next-line no-await-in-loop -- Each booker sends its next booking after it has the answer to the last.
			await send(sequence++);
		}
	});
	await Promise.all(bookers);
};

/** Runs a measurement against a new key-value service. */
export const runLoad = async (load: Load): Promise<LoadResult> => {
	const keyValue = await createKeyValue(keyValueOptions);
	const fleet = createFleet(load.mode, load.hosts, `http://${keyValue.listener.address}`);
	const random = createRandom(load.seed);
	const metrics = createMetrics();
	const counts: BookingCounts = {started: 0, refused: 0};
	const send = async (sequence: number): Promise<void> => runBooking(fleet, createBooking(sequence, load.hosts, random), counts, time => {
		metrics.record('claim', time);
	});
	const startedAt = performance.now();
	await (load.rate === 0 ? runClosedLoop(load, send) : runOpenLoop(load, send));
	const seconds = (performance.now() - startedAt) / 1000;
	const startedPerSecond = counts.started / seconds;
	const unsettled = await fleet.drain();
	const {reads, writes} = keyValue.counts;
	const bookingCount = Math.max(1, counts.started);
	const result: LoadResult = {
		...load,
		...counts,
		startedPerSecond,
		latency: metrics.getSummary('claim'),
		readsPerBooking: reads / bookingCount,
		writesPerBooking: writes / bookingCount,
		bytesPerBooking: fleet.getWrittenBytes() / bookingCount,
		writesPerSecond: writes / seconds,
		unsettled,
	};
	fleet.close();
	await keyValue.close();
	return result;
};
