import type {Prompt} from '@gentianlift/routing';
import {createCall, type Call} from './call.js';

/** Fields of a call that tests choose; the queue needs no response. */
export type TestCall = Pick<Call, 'route' | 'arrivedAt'> & {
	prompt: Prompt;
	name?: string;
	clientTimeout?: number;
	response?: Call['response'];
	customer?: Call['customer'];
};

/** Builds a prompt of one part. */
export const buildTestPrompt = (id: string, tokens: number): Prompt => ({
	model: 'm', parts: [{id, tokens}], inputTokens: tokens, outputTokens: 10,
});

/** Builds a call to the service `s` with a prompt. */
export const buildTestCall = ({route, arrivedAt, prompt, name, clientTimeout, response, customer}: TestCall): Call => createCall({
	method: 'POST',
	target: '/a/',
	head: {
		callerRequestId: name, hostname: 'a.example', key: undefined, clientTimeout, lastEventId: undefined, resumedRequestId: undefined, declaresBody: true, forwarded: [], forwardedToHosts: [],
		prompt,
		sharedParts: prompt.parts.slice(0, -1).map(({id}) => id),
	},
	body: new Uint8Array(),
	route,
	service: 's',
	customer,
	response: response!,
	isClosing: () => false,
	version: 1, streamVersion: undefined, forwarded: undefined,
	arrivedAt,
});
