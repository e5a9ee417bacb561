import {Agent} from 'node:http';
import {createRandom, type Clock, type Random} from '@gentianlift/clock';
import {computeAnswer, getAnswerText} from '@gentianlift/fakes';
import type {
	Address, ClassName, CustomerId, Milliseconds, RequestId, RunState,
} from '@gentianlift/types';
import type {Arrival} from '../queries/get-arrivals.js';
import {createHostPicker, type HostPicker} from './create-host-picker.js';
import type {Deployment} from './start-deployment.js';
import {sendRequest, type Reply} from './send-request.js';

/** Result of one request of a caller, including its retries. */
export type CallRecord = {
	className: ClassName;
	customer: CustomerId;
	/** Scheduled time of the request, from the start of the load; the times below count from it. */
	scheduledAt: Milliseconds;
	outcome: 'complete' | 'wrong' | 'failed';
	/** Error kinds of the failed attempts, in order. */
	errors: string[];
	retries: number;
	status: number;
	ran: RunState;
	request: RequestId;
	/** Time to the first token, or to the first byte of the body. */
	timeToFirstToken?: Milliseconds;
	/** Time to the end of the answer, or to the last attempt's failure. */
	timeToCompletion: Milliseconds;
	/** Mean inter-token latency. */
	meanInterTokenLatency?: Milliseconds;
	tokens: number;
	idempotencyKey?: string;
};

/** Progress of a running load; `seconds` since its start, the rest are numbers of requests. */
export type LoadProgress = {seconds: number; sent: number; open: number; complete: number; failed: number};

/** Options of a load. */
export type LoadOptions = {
	deployment: Pick<Deployment, 'keys' | 'clock'> & {routers: Array<{settings: {callerAddress: Address}}>};
	arrivals: Arrival[];
	seed: number;
	/** Maximum number of attempts after the first. */
	retries?: number;
	/** Time without a byte after which a caller aborts an attempt. */
	timeout?: Milliseconds;
	onProgress?: (progress: LoadProgress) => void;
};

type Caller = {clock: Clock; random: Random; hostPicker: HostPicker; agent: Agent; options: LoadOptions; startedAt: Milliseconds};

const defaultRetries = 2;
const defaultTimeout: Milliseconds = 60_000;
/** Delay before a retry if the answer names none; each delay gets a jitter of up to 50% in either direction. */
const defaultRetryDelay: Milliseconds = 500;
const progressInterval: Milliseconds = 5000;
const millisecondsPerSecond = 1000;

/** Returns whether a complete answer has the text that the fake engine generates for the prompt. */
const isExpectedAnswer = ({prompt}: Arrival, reply: Reply): boolean => {
	if (prompt === undefined) {
		return true;
	}

	const answer = computeAnswer(prompt, 1);
	return reply.text === getAnswerText(answer, answer.length);
};

const getOutcome = (arrival: Arrival, reply: Reply): CallRecord['outcome'] => {
	if (reply.error !== undefined || reply.status >= 400 || !reply.isComplete) {
		return 'failed';
	}

	return isExpectedAnswer(arrival, reply) ? 'complete' : 'wrong';
};

/** Returns whether a caller retries a failed attempt: with an idempotency key unless the answer forbids it, otherwise if the request is a GET, the answer invites a retry or the connection failed. */
const isRetryable = (arrival: Arrival, reply: Reply): boolean => {
	if (arrival.idempotencyKey !== undefined) {
		return reply.retry !== 'never';
	}

	return arrival.method === 'GET' || reply.retry === 'now' || reply.retry === 'later' || reply.error === 'connection';
};

const sendWithRetries = async (arrival: Arrival, caller: Caller): Promise<{reply: Reply; errors: string[]}> => {
	const {options, clock, random, agent, hostPicker} = caller;
	const errors: string[] = [];
	/* eslint-disable no-await-in-loop -- Each attempt depends on the outcome of the previous one. */
	for (;;) {
		const target = {
			address: await hostPicker.pick(), key: options.deployment.keys.get(arrival.customer) ?? '', agent, clock, timeout: options.timeout ?? defaultTimeout,
		};
		const reply = await sendRequest(arrival, target);
		if (reply.error === undefined) {
			return {reply, errors};
		}

		errors.push(reply.error);
		if (errors.length > (options.retries ?? defaultRetries) || !isRetryable(arrival, reply)) {
			return {reply, errors};
		}

		await clock.sleep((reply.retryAfter ?? defaultRetryDelay) * (0.5 + random.next()));
	}
	/* eslint-enable no-await-in-loop */
};

const getRecord = (arrival: Arrival, dueAt: Milliseconds, reply: Reply, errors: string[]): CallRecord => {
	const outcome = getOutcome(arrival, reply);
	const {firstAt, lastAt, tokens} = reply;
	return {
		className: arrival.className,
		customer: arrival.customer,
		scheduledAt: arrival.at,
		outcome,
		errors,
		retries: outcome === 'failed' ? Math.max(0, errors.length - 1) : errors.length,
		status: reply.status,
		ran: reply.ran,
		request: reply.request,
		...(firstAt !== undefined && {timeToFirstToken: firstAt - dueAt}),
		timeToCompletion: lastAt - dueAt,
		...(firstAt !== undefined && tokens > 1 && {meanInterTokenLatency: (lastAt - firstAt) / (tokens - 1)}),
		tokens,
		...(arrival.idempotencyKey !== undefined && {idempotencyKey: arrival.idempotencyKey}),
	};
};

const runCall = async (arrival: Arrival, caller: Caller): Promise<CallRecord> => {
	const dueAt = caller.startedAt + arrival.at;
	await caller.clock.sleep(Math.max(0, dueAt - caller.clock.monotonic()));
	const {reply, errors} = await sendWithRetries(arrival, caller);
	return getRecord(arrival, dueAt, reply, errors);
};

const getProgress = (arrivals: Arrival[], records: CallRecord[], elapsed: Milliseconds): LoadProgress => {
	const sent = arrivals.filter(({at}) => at <= elapsed).length;
	const complete = records.filter(({outcome}) => outcome === 'complete').length;
	return {
		seconds: Math.round(elapsed / millisecondsPerSecond), sent, open: sent - records.length, complete, failed: records.length - complete,
	};
};

/** Runs an open-loop load: sends each request at its scheduled time, whether or not earlier ones have ended, and waits for the last answer. */
export const runLoad = async (options: LoadOptions): Promise<CallRecord[]> => {
	const {deployment, arrivals} = options;
	const {clock} = deployment;
	const random = createRandom(options.seed);
	const addresses = deployment.routers.map(({settings}) => settings.callerAddress);
	const agent = new Agent({keepAlive: true});
	const caller: Caller = {
		clock, random, agent, options, hostPicker: createHostPicker(addresses, clock, random), startedAt: clock.monotonic(),
	};
	const records: CallRecord[] = [];
	const {every} = clock;
	const stopProgress = every(progressInterval, () => {
		options.onProgress?.(getProgress(arrivals, records, clock.monotonic() - caller.startedAt));
	});
	await Promise.all(arrivals.map(async arrival => {
		records.push(await runCall(arrival, caller));
	}));
	stopProgress();
	agent.destroy();
	return records;
};
