import type {Prompt} from '@gentianlift/routing';
import {parseRate} from './statements/parse-rate.js';
import {parseRest} from './statements/parse-rest.js';
import type {Protocol, RawHeaders} from './protocol.js';
import {getFields, getValues, selectEndToEnd} from './send/raw-headers.js';

const getValue = (headers: RawHeaders, name: string): string | undefined => {
	const index = headers.findIndex((item, position) => position % 2 === 0 && item.toLowerCase() === name);
	return index === -1 ? undefined : headers[index + 1];
};

/** Builds a prompt of some tokens, of one part or of those that are named. */
const buildPrompt = (tokens: number, parts = 'p'): Prompt => ({
	model: 'm', parts: parts.split(',').map(id => ({id, tokens})), inputTokens: tokens, outputTokens: 10,
});

/** Minimal protocol with the headers `limit`, `attempt`, `instance`, `key`, `timeout`, `last-event`, `prompt-tokens`, `parts`, `not-run` and `signed`. */
export const protocol: Protocol = {
	readCallerHead(headers) {
		const timeout = getValue(headers, 'timeout');
		const lastEvent = getValue(headers, 'last-event');
		const promptTokens = getValue(headers, 'prompt-tokens');
		return {
			callerRequestId: getValue(headers, 'attempt'),
			hostname: 'a.example',
			key: getValue(headers, 'key'),
			clientTimeout: timeout === undefined ? undefined : Number(timeout),
			prompt: promptTokens === undefined ? undefined : buildPrompt(Number(promptTokens), getValue(headers, 'parts')),
			sharedParts: getValue(headers, 'parts')?.split(',').slice(0, -1) ?? [],
			lastEventId: lastEvent === undefined ? undefined : Number(lastEvent),
			resumedRequestId: getValue(headers, 'resumes'),
			declaresBody: getValue(headers, 'content-length') !== undefined,
			forwarded: [],
			forwardedToHosts: selectEndToEnd(getFields(headers), new Set(['content-length'])),
		};
	},
	buildUpstreamHeaders: ({caller, upstream, remainingTime, resumeAfter, bodyLength}) => [
		'Host',
		'a.example',
		'Attempt',
		caller.callerRequestId ?? '',
		'Instance',
		upstream.id,
		'Timeout',
		String(remainingTime),
		'Parts',
		caller.prompt?.parts.map(({id}) => id).join(',') ?? '',
		...(resumeAfter === undefined ? [] : ['Last-Event', String(resumeAfter)]),
		'Content-Length',
		String(bodyLength),
	],
	buildHostHeaders: (caller, bodyLength) => [...caller.forwardedToHosts, 'Content-Length', String(bodyLength)],
	readAnswerHead: (status, headers) => ({
		status,
		callerRequestId: getValue(headers, 'attempt'),
		statements: {
			limit: parseRate(getValues(getFields(headers), 'limit')),
			rest: parseRest(getValues(getFields(headers), 'retry-after'), Date.now()),
			rejections: parseRate(getValues(getFields(headers), 'fragile')),
			isLeaving: getValue(headers, 'leaving') === '1',
		},
		isNotExecuted: getValue(headers, 'not-run') !== undefined,
		hasUpstreamMark: getValue(headers, 'signed') !== undefined,
		isEventStream: getValue(headers, 'content-type') === 'text/event-stream',
		forwarded: selectEndToEnd(getFields(headers), new Set()),
	}),
	buildErrorHeaders: () => [],
};
