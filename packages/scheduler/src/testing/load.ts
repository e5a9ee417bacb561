import type {
	ClassifiedRequest, CustomerId, Milliseconds, Rank,
} from '@gentianlift/types';
import {createTestRequest, type TestFleet, type TestHost} from './fleet.js';

/** A stream of requests. */
export type Stream = {
	name: string;
	rank: Rank;
	customer: CustomerId;
	weight?: number;
	/** Requests a second. */
	rate: number;
	/** Mean tokens of an answer; real ones vary from a quarter to about three times as many. */
	tokens: number;
	firstTokenTarget: Milliseconds;
	/** Hosts that the requests arrive at; all if absent. */
	hosts?: readonly TestHost[];
};

/** What became of the requests of a stream. */
export type StreamResult = {sent: number; met: number; late: number; shed: number; yielded: number; service: Milliseconds};

/** Results by stream. */
export type LoadResult = Map<string, StreamResult>;

const prefill: Milliseconds = 80;
const decode: Milliseconds = 10;
const step: Milliseconds = 10;

type Run = {fleet: TestFleet; results: LoadResult; slowness: ReadonlyMap<string, number>};

/** Runs streams of requests through a fleet, with engines that take 80 ms to the first token and 10 ms for each one. */
export const runLoad = async (fleet: TestFleet, streams: readonly Stream[], duration: Milliseconds, slowness: ReadonlyMap<string, number> = new Map()): Promise<LoadResult> => {
	const run: Run = {fleet, results: new Map(streams.map(stream => [stream.name, createResult()])), slowness};
	for (let elapsed = 0, sequence = 0; elapsed < duration; elapsed += step) {
		for (const stream of streams) {
			for (let due = stream.rate * step / 1000; fleet.random.next() < due; due--) {
				void send(run, stream, `${stream.name}.${sequence++}`);
			}
		}

		// eslint-disable-next-line no-await-in-loop -- Time moves step by step.
		await fleet.clock.advance(step);
	}

	await fleet.clock.advance(duration);
	return run.results;
};

/** Gets the part of a stream's requests that met their target. */
export const getAttainment = (results: LoadResult, name: string): number => {
	const result = results.get(name);
	return result === undefined ? 0 : result.met / Math.max(1, result.sent);
};

const createResult = (): StreamResult => ({
	sent: 0, met: 0, late: 0, shed: 0, yielded: 0, service: 0,
});

const send = async (run: Run, stream: Stream, id: string): Promise<void> => {
	const {fleet} = run;
	const now = fleet.clock.now();
	const host = fleet.random.pick(stream.hosts ?? fleet.hosts)!;
	const request = createTestRequest(fleet, id, {
		rank: stream.rank, customer: stream.customer, weight: stream.weight ?? 1, className: stream.name, deadline: now + stream.firstTokenTarget, expectedTokens: stream.tokens,
	});
	run.results.get(stream.name)!.sent++;
	await attempt({
		run, stream, host, request, tokens: getLength(fleet, stream.tokens), done: 0, number: 1, yields: 0,
	});
};

type Attempt = {run: Run; stream: Stream; host: TestHost; request: ClassifiedRequest; tokens: number; done: number; number: number; yields: number};

const attempt = async (state: Attempt): Promise<void> => {
	const {run, stream, host, request, number, yields, done} = state;
	const result = run.results.get(stream.name)!;
	const grant = await host.client.ask(request, {attempt: number, yields, resumed: done > 0});
	if (grant.kind !== 'granted') {
		result.shed++;
		return;
	}

	const outcome = await generate(state, grant.upstream, grant.yieldSignal);
	result.service += outcome.duration;
	host.client.end({
		request: request.id, attempt: number, kind: outcome.yielded ? 'preempted' : 'finished', tokens: outcome.tokens, firstTokenAfter: prefill, duration: outcome.duration,
	});
	if (outcome.yielded) {
		result.yielded++;
		await attempt({
			...state, done: done + outcome.tokens, number: number + 1, yields: yields + 1,
		});
	}
};

const generate = async ({run, request, stream, tokens, done}: Attempt, upstream: string, yieldSignal: AbortSignal): Promise<{yielded: boolean; tokens: number; duration: Milliseconds}> => {
	const {clock} = run.fleet;
	const slowness = run.slowness.get(upstream) ?? 1;
	const started = clock.now();
	const result = run.results.get(stream.name)!;
	await clock.sleep(prefill * slowness);
	if (done === 0) {
		result[clock.now() <= request.deadline ? 'met' : 'late']++;
	}

	let made = 1;
	while (made + done < tokens && !yieldSignal.aborted) {
		const batch = Math.min(10, tokens - done - made);
		// eslint-disable-next-line no-await-in-loop -- Tokens come one after another.
		await clock.sleep(batch * decode * slowness);
		made += batch;
	}

	return {yielded: made + done < tokens, tokens: made, duration: clock.now() - started};
};

const getLength = (fleet: TestFleet, mean: number): number =>
	Math.max(1, Math.round(mean * Math.min(3, 0.25 - (0.75 * Math.log(1 - fleet.random.next())))));
