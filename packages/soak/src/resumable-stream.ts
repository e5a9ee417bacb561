import {setTimeout as sleep} from 'node:timers/promises';
import type {Milliseconds} from '@gentianlift/types';
import {isWholeStream, readVersionedEvents, type ReceivedEvents} from './answers.js';
import type {CallOptions, CallResult, SentRequest} from './deployment.js';
import {isCompleteResponse, type ExchangeResult, type TextListener} from './exchange.js';
import type {Outcome} from './guarantees.js';

/** A request for a resumable stream, or for the rest of one whose first event the request `resumes` brought and of which its caller has the events up to `after`. */
export type StreamRequest = {call: CallOptions; resumes: string | undefined; after: number};

/** Sends a request for a stream, and calls back with each piece of the answer. */
export type StreamSender = (request: StreamRequest, onText: TextListener) => Promise<ExchangeResult>;

/** Maximum number of requests for one stream, and the pause between two. */
const maxRequests = 3;
const retryDelay: Milliseconds = 100;

/** A stream at its caller. */
type StreamState = ReceivedEvents & {
	/** Request that brought the first event. */
	firstRequest: string | undefined;
};

const receive = async (call: CallOptions, state: StreamState, send: StreamSender): Promise<SentRequest> => {
	const {attempt, address, timeout} = call;
	const startedAt = performance.now();
	let text = '';
	const result = await send({call, resumes: state.firstRequest, after: state.numbers.at(-1) ?? 0}, piece => {
		text += piece;
	});
	const {numbers, versions} = readVersionedEvents(text);
	state.firstRequest ??= numbers.length === 0 ? undefined : call.attempt;
	state.numbers.push(...numbers);
	state.versions.push(...versions);
	const outcome: Outcome = isCompleteResponse(result) ? {kind: 'answered', status: result.status, isOwn: isWholeStream(state)} : result;
	return {
		attempt, address, timeout, startedAt, endedAt: performance.now(), outcome,
	};
};

const isServed = (outcome: Outcome): boolean => outcome.kind === 'answered' && outcome.status < 300;

/** Requests a resumable stream as a caller, who takes it up at any host when it breaks. A stream that isn't completed has the outcome of its first request. */
export const receiveResumableStream = async (call: CallOptions, send: StreamSender): Promise<CallResult> => {
	const state: StreamState = {firstRequest: undefined, numbers: [], versions: []};
	const deadline = performance.now() + call.timeout;
	const first = await receive(call, state, send);
	const requests = [first];
	let last = first.outcome;
	while (requests.length < maxRequests && !isServed(last) && last.kind !== 'given-up') {
		// eslint-disable-next-line no-await-in-loop -- One request at a time.
		await sleep(retryDelay);
		const address = call.pickAddress();
		const timeout = Math.round(deadline - performance.now());
		if (address === undefined || timeout <= 0) {
			break;
		}

		const attempt = `${call.attempt}.${requests.length}`;
		// eslint-disable-next-line no-await-in-loop -- As above.
		const request = await receive({
			...call, attempt, address, timeout,
		}, state, send);
		requests.push(request);
		last = request.outcome;
	}

	return {outcome: isServed(last) ? last : first.outcome, versions: state.versions, requests};
};
