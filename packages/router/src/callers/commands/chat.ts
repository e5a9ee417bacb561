import {createFailure} from '@gentianlift/errors';
import {getPrefixDigests} from '@gentianlift/policy';
import type {
	ClassifiedRequest, Configuration, Work,
} from '@gentianlift/types';
import {runGeneration, type GenerationResult} from '../../dispatch/run-generation.js';
import type {HostContext} from '../../host-context.js';
import {
	admitRequest, authenticate, acquireLimits, type Caller,
} from '../admission.js';
import {getAccountHeaders, sendJson} from '../send-response.js';
import {createCallerStream, type CallerStream} from '../caller-stream.js';
import {createStreamWriter, createBufferedWriter} from '../response-writers.js';
import {parseChatBody, type ChatBody} from '../chat-body.js';
import {handleUnfinished, getUnfinishedClaimEnd, serveClaimedRequest} from '../unfinished-request.js';
import type {Exchange} from '../exchange.js';
import {createCompletionBody} from '../completion-body.js';
import {readBody} from '../read-body.js';
import {createLatencyRecorder} from '../latency-recorder.js';

/** Classified chat completion request. */
type Chat = {
	caller: Caller;
	request: ClassifiedRequest;
	body: ChatBody;
	bytes: number;
	exchange: Exchange;
	stream: CallerStream;
};

/** Estimate from which the number of prompt tokens is computed. */
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

const checkToolSupport = (body: ChatBody): void => {
	if (body.stream !== true && body.tools !== undefined) {
		throw createFailure('bad-request', {detail: 'tools: calls of tools need "stream": true.'});
	}
};

const runChat = async (context: HostContext, chat: Chat): Promise<GenerationResult> => {
	const {request, body, bytes, stream} = chat;
	const latencyRecorder = createLatencyRecorder(context, request);
	const result = await runGeneration(context, {
		request,
		body,
		bytes,
		stopSignal: request.idempotent ? stream.callerDisconnectedSignal : new AbortController().signal,
		withdrawalSignal: stream.callerDisconnectedSignal,
		writer: body.stream === true ? createStreamWriter(request, stream, latencyRecorder.recordOutput) : createBufferedWriter(latencyRecorder.recordOutput),
	});
	latencyRecorder.recordEnd(result.kind === 'finished');
	return result;
};

const sendResult = (context: HostContext, {request, body, exchange, stream}: Chat, result: GenerationResult): void => {
	if (result.kind !== 'finished') {
		handleUnfinished(context, exchange, request, result);
		return;
	}

	context.accounts.apply({kind: 'finished', request: request.id, status: 200});
	if (body.stream === true) {
		stream.end();
	} else {
		sendJson(exchange.response, 200, createCompletionBody(request, body.model, result, context.clock.now()), getAccountHeaders(request.id, 'ran'));
	}
};

/** Runs a chat completion within the customer's limits and responds. */
const serveChat = async (context: HostContext, chat: Chat): Promise<GenerationResult> => {
	const release = await acquireLimits(context, chat.caller.customer, chat.request);
	let tokens = 0;
	try {
		const result = await runChat(context, chat);
		tokens = result.tokens;
		sendResult(context, chat, result);
		return result;
	} finally {
		release(tokens);
	}
};

const serveClaimedChat = async (context: HostContext, chat: Chat): Promise<void> => serveClaimedRequest(context, chat.exchange, chat.request, async () => {
	const result = await serveChat(context, chat);
	return result.kind === 'finished' ? {kind: 'finished', status: 200} : getUnfinishedClaimEnd(result);
});

/** Handles `POST /v1/chat/completions`, streamed or not; throws the failure to report. */
export const handleChat = async (context: HostContext, exchange: Exchange): Promise<void> => {
	const caller = authenticate(context, exchange.request);
	const bytes = await readBody(exchange.request, context.settings.callerLimits, context.clock);
	const body = parseChatBody(bytes);
	checkToolSupport(body);
	const prompt = getPrompt(body);
	const request = admitRequest(context, caller, exchange, {
		method: 'POST', path: '/v1/chat/completions', body: bytes, prompt, work: getWork(caller.configuration, body, prompt),
	});
	const stream = createCallerStream(exchange.response, {
		clock: context.clock, idleTimeout: context.settings.silenceLimits.caller, abortSignal: context.inFlightRequests.abortController.signal,
	});
	const chat: Chat = {
		caller, request, body, bytes: bytes.length, exchange, stream,
	};
	await (request.idempotent ? serveChat(context, chat) : serveClaimedChat(context, chat));
};
