import {createFailure, getFailure} from '@gentianlift/errors';
import {getPrefixDigests} from '@gentianlift/policy';
import type {
	ClassifiedRequest, Configuration, Work,
} from '@gentianlift/types';
import {runClaimed, type ClaimedEnd} from '../../dispatch/run-claimed.js';
import {runGeneration, type GenerationResult} from '../../dispatch/run-generation.js';
import type {HostParts} from '../../parts.js';
import {
	admitRequest, authenticate, takeLimits, type Caller,
} from '../admission.js';
import {checkForcedStop} from '../forced-stop.js';
import {getAccountHeaders, sendJson} from '../answer.js';
import {createCallerStream, type AnswerWriter, type CallerStream} from '../caller-stream.js';
import {parseChatBody, type ChatBody} from '../chat-body.js';
import type {Exchange} from '../exchange.js';
import {getCompletion} from '../completion.js';
import {readBody} from '../read-body.js';
import {sendClaimed} from '../stored-answer.js';
import {recordLatencies} from '../latencies.js';

/** A chat completion that has been classified. */
type Chat = {
	caller: Caller;
	request: ClassifiedRequest;
	body: ChatBody;
	bytes: number;
	exchange: Exchange;
	stream: CallerStream;
};

const charactersPerToken = 4;
const defaultMaxTokens = 4096;

const getPrompt = ({messages}: ChatBody): string =>
	messages.map(({role, content}) => `${role}: ${typeof content === 'string' ? content : JSON.stringify(content)}`).join('\n');

const getWork = ({inventory}: Configuration, body: ChatBody, prompt: string): Work => {
	const adapter = inventory.adapters.find(item => item.name === body.model);
	const model = adapter?.model ?? body.model;
	return {
		kind: 'generation',
		model,
		...(adapter !== undefined && {adapter: adapter.name}),
		promptTokens: Math.ceil(prompt.length / charactersPerToken),
		maxTokens: body.max_completion_tokens ?? body.max_tokens ?? defaultMaxTokens,
		stream: body.stream === true,
		prefix: getPrefixDigests(model, prompt),
	};
};

const checkSupport = (body: ChatBody): void => {
	if (body.stream !== true && body.tools !== undefined) {
		throw createFailure('bad-request', {detail: 'tools: calls of tools need "stream": true.'});
	}
};

const createWriter = ({request, body, stream}: Chat, mark: () => void): AnswerWriter => {
	if (body.stream !== true) {
		return {
			write() {
				mark();
				return true;
			},
			drained: async () => true,
		};
	}

	return {
		write(bytes) {
			if (!stream.hasBegun()) {
				stream.begin(200, {'content-type': 'text/event-stream', 'cache-control': 'no-cache', ...getAccountHeaders(request.id, 'ran')});
			}

			mark();
			return stream.write(bytes);
		},
		drained: stream.drained,
	};
};

const runChat = async (parts: HostParts, chat: Chat): Promise<GenerationResult> => {
	const {request, body, bytes, stream} = chat;
	const latencies = recordLatencies(parts, request);
	const result = await runGeneration(parts, {
		request,
		body,
		bytes,
		stop: request.idempotent ? AbortSignal.any([stream.gone, parts.open.cut.signal]) : new AbortController().signal,
		writer: createWriter(chat, latencies.mark),
	});
	latencies.end(result.kind === 'finished');
	return result;
};

const sendResult = (parts: HostParts, {request, body, exchange: {response}, stream}: Chat, result: GenerationResult): void => {
	switch (result.kind) {
		case 'finished': {
			parts.accounts.apply({kind: 'finished', request: request.id, status: 200});
			if (body.stream === true) {
				stream.end();
			} else {
				sendJson(response, 200, getCompletion(request, body.model, result, parts.clock.now()), getAccountHeaders(request.id, 'ran'));
			}

			return;
		}

		case 'stopped': {
			checkForcedStop(parts, result.ran);
			parts.accounts.apply({kind: 'cancelled', request: request.id, ran: result.ran});
			parts.metrics.count('cancelled_total', {class: request.className});
			response.destroy();
			return;
		}

		case 'failed': {
			throw result.failure;
		}
	}
};

const getClaimedEnd = (result: GenerationResult): ClaimedEnd => {
	switch (result.kind) {
		case 'finished': {
			return {kind: 'finished', status: 200};
		}

		case 'stopped': {
			return {kind: 'failed', failure: createFailure('outcome-unknown', {ran: result.ran})};
		}

		case 'failed': {
			return {kind: 'failed', failure: result.failure};
		}
	}
};

const serveChat = async (parts: HostParts, chat: Chat): Promise<void> => {
	const release = await takeLimits(parts, chat.caller.customer, chat.request);
	let tokens = 0;
	try {
		const result = await runChat(parts, chat);
		tokens = result.kind === 'finished' ? result.tokens : 0;
		sendResult(parts, chat, result);
	} finally {
		release(tokens);
	}
};

/** Runs a claimed chat; a failure becomes the claim's outcome before the caller is told. */
const runClaimedChat = async (parts: HostParts, chat: Chat): Promise<ClaimedEnd> => {
	try {
		const release = await takeLimits(parts, chat.caller.customer, chat.request);
		const result = await runChat(parts, chat);
		release(result.kind === 'finished' ? result.tokens : 0);
		if (result.kind !== 'failed') {
			sendResult(parts, chat, result);
		}

		return getClaimedEnd(result);
	} catch (error) {
		return {kind: 'failed', failure: getFailure(error)};
	}
};

const serveClaimedChat = async (parts: HostParts, chat: Chat): Promise<void> => {
	const result = await runClaimed(parts, chat.request, async () => runClaimedChat(parts, chat));
	sendClaimed(chat.exchange, result);
};

/** Answers `POST /v1/chat/completions`, as a stream or whole; throws the failure to report. */
export const handleChat = async (parts: HostParts, exchange: Exchange): Promise<void> => {
	const caller = authenticate(parts, exchange.request);
	const bytes = await readBody(exchange.request, parts.settings.callerLimits, parts.clock);
	const body = parseChatBody(bytes);
	checkSupport(body);
	const prompt = getPrompt(body);
	const request = admitRequest(parts, caller, exchange, {
		method: 'POST', path: '/v1/chat/completions', body: bytes, prompt, work: getWork(caller.configuration, body, prompt),
	});
	const stream = createCallerStream(exchange.response, parts.clock, parts.settings.silenceLimits.caller);
	const chat: Chat = {
		caller, request, body, bytes: bytes.length, exchange, stream,
	};
	await (request.idempotent ? serveChat(parts, chat) : serveClaimedChat(parts, chat));
};
