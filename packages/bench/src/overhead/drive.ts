import {Buffer} from 'node:buffer';
import {Agent, request as createRequest, type IncomingMessage} from 'node:http';
import {customerKey, modelName} from './configuration.js';

/** A closed loop of callers. */
export type DriveOptions = {
	address: string;
	/** Callers that each send one request after another. */
	streams: number;
	/** Tokens of each answer. */
	tokens: number;
	stream: boolean;
	/** Milliseconds before anything is counted. */
	warmUp: number;
	/** Milliseconds in which answers are counted. */
	duration: number;
};

/** What the callers saw in the counted time. */
export type DriveResult = {
	answers: number;
	events: number;
	failures: number;
	/** Milliseconds from the call to the first byte of the first token. */
	first: number[];
	/** Milliseconds from the call to the end of the answer. */
	whole: number[];
};

type Answer = {events: number; firstAt: number; endAt: number; status: number};

/** Counts ends of events, which are empty lines. */
const countEvents = (part: string): number => {
	let count = 0;
	for (let at = part.indexOf('\n\n'); at !== -1; at = part.indexOf('\n\n', at + 2)) {
		count++;
	}

	return count;
};

const readAnswer = async (message: IncomingMessage, onEvents: (count: number) => void): Promise<Answer> => {
	const answer: Answer = {
		events: 0, firstAt: 0, endAt: 0, status: message.statusCode ?? 0,
	};
	message.setEncoding('latin1');
	for await (const part of message) {
		const text = String(part);
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

const getBody = (caller: number, tokens: number, stream: boolean): string => JSON.stringify({
	model: modelName, stream, messages: [{role: 'user', content: `Caller ${caller} #tokens=${tokens}`}],
});

/** Sends one request and reads its answer. */
export const callOnce = async (
	{address, tokens, stream}: Pick<DriveOptions, 'address' | 'tokens' | 'stream'>,
	{agent, caller, onEvents}: {agent: Agent; caller: number; onEvents: (count: number) => void},
): Promise<Answer> => {
	const [host, port] = address.split(':');
	const body = getBody(caller, tokens, stream);
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

/** Runs the callers. */
export const drive = async (options: DriveOptions): Promise<DriveResult> => {
	const agent = new Agent({keepAlive: true});
	const result: DriveResult = {
		answers: 0, events: 0, failures: 0, first: [], whole: [],
	};
	const start = performance.now() + options.warmUp;
	const end = start + options.duration;
	const isCounted = (): boolean => performance.now() >= start && performance.now() < end;
	const onEvents = (count: number): void => {
		result.events += isCounted() ? count : 0;
	};

	const add = (askedAt: number, answer: Answer): void => {
		if (!isCounted()) {
			return;
		}

		result.answers++;
		result.failures += answer.status === 200 ? 0 : 1;
		result.first.push(answer.firstAt - askedAt);
		result.whole.push(answer.endAt - askedAt);
	};

	const runCaller = async (caller: number): Promise<void> => {
		/* eslint-disable no-await-in-loop -- A caller sends one request after another. */
		while (performance.now() < end) {
			const askedAt = performance.now();
			add(askedAt, await callOnce(options, {agent, caller, onEvents}));
		}
		/* eslint-enable no-await-in-loop */
	};

	const callers = Array.from({length: options.streams}, async (_, caller) => {
		try {
			// Callers start one after another, so that their answers don't run in step.
			await new Promise(resolve => {
				setTimeout(resolve, options.warmUp / 2 * caller / options.streams);
			});
			await runCaller(caller);
		} catch {
			result.failures += performance.now() < end ? 1 : 0;
		}
	});
	// Answers that are still open at the end are cut.
	setTimeout(() => {
		agent.destroy();
	}, options.warmUp + options.duration + 50);
	await Promise.all(callers);
	return result;
};
