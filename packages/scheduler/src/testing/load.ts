import type {
	ClassifiedRequest, CustomerId, Milliseconds, Rank,
} from '@gentianlift/types';
import {createTestRequest, type TestFleet, type TestHost} from './fleet.js';

/** A stream of similar requests at a constant mean rate. */
export type RequestStream = {
	name: string;
	rank: Rank;
	customer: CustomerId;
	weight?: number;
	/** Requests per second. */
	rate: number;
	/** Mean output tokens of an answer; actual numbers vary from a quarter of it to three times as many. */
	tokens: number;
	firstTokenTarget: Milliseconds;
	/** Hosts that receive the requests; all if absent. */
	hosts?: readonly TestHost[];
};

/** Numbers of requests of a stream by outcome, and the service time that they used. */
export type StreamResult = {sent: number; met: number; late: number; shed: number; preempted: number; service: Milliseconds};

/** Results by name of the stream. */
export type LoadResult = Map<string, StreamResult>;

const prefillTime: Milliseconds = 80;
const timePerOutputToken: Milliseconds = 10;
const stepTime: Milliseconds = 10;

type LoadRun = {fleet: TestFleet; results: LoadResult; slowdowns: ReadonlyMap<string, number>};

/** Sends streams of requests through a fleet, with simulated engines that take 80 ms to the first token and 10 ms per further token. */
export const runLoad = async (fleet: TestFleet, streams: readonly RequestStream[], duration: Milliseconds, slowdowns: ReadonlyMap<string, number> = new Map()): Promise<LoadResult> => {
	const run: LoadRun = {fleet, results: new Map(streams.map(stream => [stream.name, createResult()])), slowdowns};
	for (let elapsed = 0, sequence = 0; elapsed < duration; elapsed += stepTime) {
		for (const stream of streams) {
			for (let expectedCount = stream.rate * stepTime / 1000; fleet.random.next() < expectedCount; expectedCount--) {
				void send(run, stream, `${stream.name}.${sequence++}`);
			}
		}

		// eslint-disable-next-line no-await-in-loop -- Time moves step by step.
		await fleet.clock.advance(stepTime);
	}

	await fleet.clock.advance(duration);
	return run.results;
};

/** Returns the fraction of a stream's requests that met their target. */
export const getAttainment = (results: LoadResult, name: string): number => {
	const result = results.get(name);
	return result === undefined ? 0 : result.met / Math.max(1, result.sent);
};

const createResult = (): StreamResult => ({
	sent: 0, met: 0, late: 0, shed: 0, preempted: 0, service: 0,
});

const send = async (run: LoadRun, stream: RequestStream, id: string): Promise<void> => {
	const {fleet} = run;
	const now = fleet.clock.now();
	const host = fleet.random.pick(stream.hosts ?? fleet.hosts)!;
	const request = createTestRequest(fleet, id, {
		rank: stream.rank, customer: stream.customer, weight: stream.weight ?? 1, className: stream.name, deadline: now + stream.firstTokenTarget, expectedTokens: stream.tokens,
	});
	run.results.get(stream.name)!.sent++;
	await runAttempt({
		run, stream, host, request, tokens: sampleOutputTokens(fleet, stream.tokens), done: 0, number: 1, preemptions: 0,
	});
};

type AttemptState = {run: LoadRun; stream: RequestStream; host: TestHost; request: ClassifiedRequest; tokens: number; done: number; number: number; preemptions: number};

const runAttempt = async (state: AttemptState): Promise<void> => {
	const {run, stream, host, request, number, preemptions, done} = state;
	const result = run.results.get(stream.name)!;
	const grant = await host.client.requestGrant(request, {attempt: number, preemptions, resumed: done > 0});
	if (grant.kind !== 'granted') {
		result.shed++;
		return;
	}

	const outcome = await generate(state, grant.upstream, grant.preemptionSignal);
	result.service += outcome.duration;
	host.client.reportEnd({
		request: request.id, attempt: number, kind: outcome.preempted ? 'preempted' : 'finished', tokens: outcome.tokens, firstTokenAfter: prefillTime, duration: outcome.duration,
	});
	if (outcome.preempted) {
		result.preempted++;
		await runAttempt({
			...state, done: done + outcome.tokens, number: number + 1, preemptions: preemptions + 1,
		});
	}
};

const generate = async ({run, request, stream, tokens, done}: AttemptState, upstream: string, preemptionSignal: AbortSignal): Promise<{preempted: boolean; tokens: number; duration: Milliseconds}> => {
	const {clock} = run.fleet;
	const slowdown = run.slowdowns.get(upstream) ?? 1;
	const started = clock.now();
	const result = run.results.get(stream.name)!;
	await clock.sleep(prefillTime * slowdown);
	if (done === 0) {
		result[clock.now() <= request.deadline ? 'met' : 'late']++;
	}

	let generated = 1;
	while (generated + done < tokens && !preemptionSignal.aborted) {
		const batch = Math.min(10, tokens - done - generated);
		// eslint-disable-next-line no-await-in-loop -- Tokens come one after another.
		await clock.sleep(batch * timePerOutputToken * slowdown);
		generated += batch;
	}

	return {preempted: generated + done < tokens, tokens: generated, duration: clock.now() - started};
};

const sampleOutputTokens = (fleet: TestFleet, mean: number): number =>
	Math.max(1, Math.round(mean * Math.min(3, 0.25 - (0.75 * Math.log(1 - fleet.random.next())))));
