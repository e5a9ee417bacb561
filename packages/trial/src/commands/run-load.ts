import {Agent} from 'node:http';
import {createRandom, type Clock, type Random} from '@gentianlift/clock';
import {getAnswer, getAnswerText} from '@gentianlift/fakes';
import type {
	Address, ClassName, CustomerId, Milliseconds, RequestId, RunState,
} from '@gentianlift/types';
import type {Arrival} from '../queries/get-arrivals.js';
import {createAddressBook, type AddressBook} from './create-address-book.js';
import type {Deployment} from './start-deployment.js';
import {sendRequest, type Reply} from './send-request.js';

/** What became of one request of a caller, with its retries. */
export type CallRecord = {
	className: ClassName;
	customer: CustomerId;
	/** Moment of arrival from the start of the load; times below count from it. */
	at: Milliseconds;
	outcome: 'complete' | 'wrong' | 'failed';
	/** Error kinds of the attempts that failed, in order. */
	errors: string[];
	retries: number;
	status: number;
	ran: RunState;
	request: RequestId;
	firstAfter?: Milliseconds;
	wholeAfter: Milliseconds;
	/** Mean time between tokens. */
	betweenTokens?: Milliseconds;
	tokens: number;
	idempotencyKey?: string;
};

/** Counts of a load while it runs. */
export type LoadProgress = {seconds: number; sent: number; open: number; complete: number; failed: number};

/** How a load is run. */
export type LoadOptions = {
	deployment: Pick<Deployment, 'keys' | 'clock'> & {routers: Array<{settings: {callerAddress: Address}}>};
	arrivals: Arrival[];
	seed: number;
	/** Attempts after the first. */
	retries?: number;
	/** Longest time without a byte that a caller waits. */
	timeout?: Milliseconds;
	onProgress?: (progress: LoadProgress) => void;
};

type Caller = {clock: Clock; random: Random; book: AddressBook; agent: Agent; options: LoadOptions; startedAt: Milliseconds};

const defaultRetries = 2;
const defaultTimeout: Milliseconds = 60_000;
const defaultPause: Milliseconds = 500;
const progressInterval: Milliseconds = 5000;
const millisecondsPerSecond = 1000;

const isRight = ({prompt}: Arrival, reply: Reply): boolean => {
	if (prompt === undefined) {
		return true;
	}

	const answer = getAnswer(prompt, 1);
	return reply.text === getAnswerText(answer, answer.length);
};

const getOutcome = (arrival: Arrival, reply: Reply): CallRecord['outcome'] => {
	if (reply.error !== undefined || reply.status >= 400 || !reply.whole) {
		return 'failed';
	}

	return isRight(arrival, reply) ? 'complete' : 'wrong';
};

const isRetryOfUse = (arrival: Arrival, reply: Reply): boolean => {
	if (arrival.idempotencyKey !== undefined) {
		return reply.retry !== 'never';
	}

	return arrival.method === 'GET' || reply.retry === 'now' || reply.retry === 'later' || reply.error === 'connection';
};

const sendWithRetries = async (arrival: Arrival, caller: Caller): Promise<{reply: Reply; errors: string[]}> => {
	const {options, clock, random, agent, book} = caller;
	const errors: string[] = [];
	/* eslint-disable no-await-in-loop -- Attempts come one after another. */
	for (;;) {
		const target = {
			address: await book.pick(), key: options.deployment.keys.get(arrival.customer) ?? '', agent, clock, timeout: options.timeout ?? defaultTimeout,
		};
		const reply = await sendRequest(arrival, target);
		if (reply.error === undefined) {
			return {reply, errors};
		}

		errors.push(reply.error);
		if (errors.length > (options.retries ?? defaultRetries) || !isRetryOfUse(arrival, reply)) {
			return {reply, errors};
		}

		await clock.sleep((reply.retryAfter ?? defaultPause) * (0.5 + random.next()));
	}
	/* eslint-enable no-await-in-loop */
};

const getRecord = (arrival: Arrival, due: Milliseconds, reply: Reply, errors: string[]): CallRecord => {
	const outcome = getOutcome(arrival, reply);
	const {firstAt, lastAt, tokens} = reply;
	return {
		className: arrival.className,
		customer: arrival.customer,
		at: arrival.at,
		outcome,
		errors,
		retries: outcome === 'failed' ? Math.max(0, errors.length - 1) : errors.length,
		status: reply.status,
		ran: reply.ran,
		request: reply.request,
		...(firstAt !== undefined && {firstAfter: firstAt - due}),
		wholeAfter: lastAt - due,
		...(firstAt !== undefined && tokens > 1 && {betweenTokens: (lastAt - firstAt) / (tokens - 1)}),
		tokens,
		...(arrival.idempotencyKey !== undefined && {idempotencyKey: arrival.idempotencyKey}),
	};
};

const runCall = async (arrival: Arrival, caller: Caller): Promise<CallRecord> => {
	const due = caller.startedAt + arrival.at;
	await caller.clock.sleep(Math.max(0, due - caller.clock.monotonic()));
	const {reply, errors} = await sendWithRetries(arrival, caller);
	return getRecord(arrival, due, reply, errors);
};

const getProgress = (arrivals: Arrival[], records: CallRecord[], elapsed: Milliseconds): LoadProgress => {
	const sent = arrivals.filter(({at}) => at <= elapsed).length;
	const complete = records.filter(({outcome}) => outcome === 'complete').length;
	return {
		seconds: Math.round(elapsed / millisecondsPerSecond), sent, open: sent - records.length, complete, failed: records.length - complete,
	};
};

/** Sends all arrivals at their times, whatever becomes of earlier ones, and waits for the last answer. */
export const runLoad = async (options: LoadOptions): Promise<CallRecord[]> => {
	const {deployment, arrivals} = options;
	const {clock} = deployment;
	const random = createRandom(options.seed);
	const addresses = deployment.routers.map(({settings}) => settings.callerAddress);
	const agent = new Agent({keepAlive: true});
	const caller: Caller = {
		clock, random, agent, options, book: createAddressBook(addresses, clock, random), startedAt: clock.monotonic(),
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
