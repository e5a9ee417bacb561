import {Buffer} from 'node:buffer';
import {Agent, request as createRequest, type IncomingMessage} from 'node:http';
import {customerKey, modelName} from './configuration.js';

/** Options of a closed-loop load. */
export type DriveOptions = {
	address: string;
	/** Number of concurrent callers; each sends one request after another. */
	streams: number;
	/** Tokens per answer. */
	tokens: number;
	stream: boolean;
	/** Milliseconds before answers and events are counted. */
	warmUp: number;
	/** Milliseconds during which answers and events are counted. */
	duration: number;
};

/** What the callers observed while answers and events were counted. */
export type DriveResult = {
	answers: number;
	events: number;
	failures: number;
	/** Milliseconds from the call to the first token, for each answer. */
	first: number[];
	/** Milliseconds from the call to the end of the answer, for each answer. */
	whole: number[];
};

type AnswerTimes = {events: number; firstAt: number; endAt: number; status: number};

/** Counts the server-sent events that end in a chunk; an empty line ends an event. */
const countEvents = (chunk: string): number => {
	let count = 0;
	for (let at = chunk.indexOf('\n\n'); at !== -1; at = chunk.indexOf('\n\n', at + 2)) {
		count++;
	}

	return count;
};

const readAnswer = async (message: IncomingMessage, onEvents: (count: number) => void): Promise<AnswerTimes> => {
	const answer: AnswerTimes = {
		events: 0, firstAt: 0, endAt: 0, status: message.statusCode ?? 0,
	};
	message.setEncoding('latin1');
	for await (const chunk of message) {
		const text = String(chunk);
		if (answer.firstAt === 0 && text.includes('\n')) {
			answer.firstAt = performance.now();
		}

		const count = countEvents(text);
		answer.events += count;
		onEvents(count);
	}

	answer.endAt = performance.now();
	return answer;
};

const createBody = (caller: number, tokens: number, stream: boolean): string => JSON.stringify({
	model: modelName, stream, messages: [{role: 'user', content: `Caller ${caller} #tokens=${tokens}`}],
});

/** Sends one request and reads its whole answer. */
export const callOnce = async (
	{address, tokens, stream}: Pick<DriveOptions, 'address' | 'tokens' | 'stream'>,
	{agent, caller, onEvents}: {agent: Agent; caller: number; onEvents: (count: number) => void},
): Promise<AnswerTimes> => {
	const [host, port] = address.split(':');
	const body = createBody(caller, tokens, stream);
	const message = await new Promise<IncomingMessage>((resolve, reject) => {
		const outgoing = createRequest({
			host, port, method: 'POST', path: '/v1/chat/completions', agent,
			headers: {authorization: `Bearer ${customerKey}`, 'content-type': 'application/json', 'content-length': Buffer.byteLength(body)},
		}, resolve);
		outgoing.on('error', reject);
		outgoing.end(body);
	});
	return readAnswer(message, onEvents);
};

/** Runs closed-loop callers and returns what they observed. */
export const driveLoad = async (options: DriveOptions): Promise<DriveResult> => {
	const agent = new Agent({keepAlive: true});
	const result: DriveResult = {
		answers: 0, events: 0, failures: 0, first: [], whole: [],
	};
	const countedFrom = performance.now() + options.warmUp;
	const countedUntil = countedFrom + options.duration;
	const isInCountedTime = (): boolean => performance.now() >= countedFrom && performance.now() < countedUntil;
	const onEvents = (count: number): void => {
		result.events += isInCountedTime() ? count : 0;
	};

	const recordAnswer = (sentAt: number, answer: AnswerTimes): void => {
		if (!isInCountedTime()) {
			return;
		}

		result.answers++;
		result.failures += answer.status === 200 ? 0 : 1;
		result.first.push(answer.firstAt - sentAt);
		result.whole.push(answer.endAt - sentAt);
	};

	const runCaller = async (caller: number): Promise<void> => {
		/* eslint-disable no-await-in-loop -- A caller sends one request after another. */
		while (performance.now() < countedUntil) {
			const sentAt = performance.now();
			recordAnswer(sentAt, await callOnce(options, {agent, caller, onEvents}));
		}
		/* eslint-enable no-await-in-loop */
	};

	const callers = Array.from({length: options.streams}, async (_, caller) => {
		try {
			// Callers start at staggered times, so that their answers are not synchronized.
			await new Promise(resolve => {
				setTimeout(resolve, options.warmUp / 2 * caller / options.streams);
			});
			await runCaller(caller);
		} catch {
			result.failures += performance.now() < countedUntil ? 1 : 0;
		}
	});
	// Answers that are still streaming at the end are aborted.
	setTimeout(() => {
		agent.destroy();
	}, options.warmUp + options.duration + 50);
	await Promise.all(callers);
	return result;
};
