import {createFailure} from '@gentianlift/errors';
import {getPrefixDigests} from '@gentianlift/policy';
import type {
	ClassifiedRequest, Configuration, Work,
} from '@gentianlift/types';
import {runGeneration, type GenerationResult} from '../../dispatch/run-generation.js';
import type {HostParts} from '../../parts.js';
import {
	admitRequest, authenticate, takeLimits, type Caller,
} from '../admission.js';
import {getAccountHeaders, sendJson} from '../answer.js';
import {createCallerStream, type CallerStream} from '../caller-stream.js';
import {createStreamWriter, createWholeWriter} from '../chat-writer.js';
import {parseChatBody, type ChatBody} from '../chat-body.js';
import {endUnfinished, getUnfinishedEnd, serveClaimed} from '../ending.js';
import type {Exchange} from '../exchange.js';
import {getCompletion} from '../completion.js';
import {readBody} from '../read-body.js';
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

const runChat = async (parts: HostParts, chat: Chat): Promise<GenerationResult> => {
	const {request, body, bytes, stream} = chat;
	const latencies = recordLatencies(parts, request);
	const result = await runGeneration(parts, {
		request,
		body,
		bytes,
		stop: request.idempotent ? stream.gone : new AbortController().signal,
		writer: body.stream === true ? createStreamWriter(request, stream, latencies.mark) : createWholeWriter(latencies.mark),
	});
	latencies.end(result.kind === 'finished');
	return result;
};

const sendResult = (parts: HostParts, {request, body, exchange, stream}: Chat, result: GenerationResult): void => {
	if (result.kind !== 'finished') {
		endUnfinished(parts, exchange, request, result);
		return;
	}

	parts.accounts.apply({kind: 'finished', request: request.id, status: 200});
	if (body.stream === true) {
		stream.end();
	} else {
		sendJson(exchange.response, 200, getCompletion(request, body.model, result, parts.clock.now()), getAccountHeaders(request.id, 'ran'));
	}
};

/** Runs a chat within its customer's limits and answers. */
const serveChat = async (parts: HostParts, chat: Chat): Promise<GenerationResult> => {
	const release = await takeLimits(parts, chat.caller.customer, chat.request);
	let tokens = 0;
	try {
		const result = await runChat(parts, chat);
		tokens = result.tokens;
		sendResult(parts, chat, result);
		return result;
	} finally {
		release(tokens);
	}
};

const serveClaimedChat = async (parts: HostParts, chat: Chat): Promise<void> => serveClaimed(parts, chat.exchange, chat.request, async () => {
	const result = await serveChat(parts, chat);
	return result.kind === 'finished' ? {kind: 'finished', status: 200} : getUnfinishedEnd(result);
});

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
	const stream = createCallerStream(exchange.response, {
		clock: parts.clock, silence: parts.settings.silenceLimits.caller, cut: parts.open.cut.signal,
	});
	const chat: Chat = {
		caller, request, body, bytes: bytes.length, exchange, stream,
	};
	await (request.idempotent ? serveChat(parts, chat) : serveClaimedChat(parts, chat));
};
