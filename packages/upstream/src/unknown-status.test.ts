import {unknownStatuses, writeRaw} from '@gentianlift/http/testing';
import {expect, onTestFinished, test} from 'vitest';
import {startRawUpstream, type RawUpstream} from './testing-raw.js';
import {getRunState} from './index.js';

/** Starts an upstream that answers with a status. */
const start = async (status: string, body: string, fields = ''): Promise<RawUpstream> => startRawUpstream(socket => {
	writeRaw(socket, `HTTP/1.1 ${status} X\r\n${fields}Content-Length: ${body.length}\r\n\r\n${body}`);
}, onTestFinished);

const events = 'data: {"choices":[{"delta":{"content":"a"}}]}\n\ndata: [DONE]\n\n';
const report = JSON.stringify({
	at: 1, running: 0, waiting: 0, freeTokens: 1, capacityTokens: 1, models: [],
});

/** What each call says of an answer with a status that is none, or of one with status 200. */
const calls: Array<{name: string; body: string; fields?: string; call: (upstream: RawUpstream) => Promise<unknown>; sound: unknown; odd: unknown}> = [
	{
		name: 'call of a service', body: '{}', sound: 'answered', odd: 'unknown',
		async call({client, address}) {
			const response = await client.callService({
				address, method: 'POST', path: '/orders', headers: {}, body: '{}',
			});
			return response.kind === 'answered' ? response.kind : getRunState(response);
		},
	},
	{
		name: 'generation', body: events, sound: 'started', odd: 'unknown',
		async call({client, address}) {
			const generation = await client.generate({address, body: '{}', headers: {'x-request-id': 'a', 'x-priority': '1'}});
			return generation.kind === 'started' ? generation.kind : getRunState(generation);
		},
	},
	{
		name: 'cancellation', body: '', sound: true, odd: false,
		call: async ({client, address}) => client.cancelGeneration(address, 'a'),
	},
	{
		name: 'order', body: '{}', sound: 'accepted', odd: 'unknown',
		async call({client, address}) {
			const {kind} = await client.sendOrder(address, {fencing: 1} as never);
			return kind;
		},
	},
	{
		name: 'load report', body: report, sound: JSON.parse(report), odd: undefined,
		call: async ({client, address}) => client.readLoad(address),
	},
	{
		name: 'health check', body: '{}', sound: 'success', odd: 'reset',
		call: async ({client, address}) => client.checkHealth(address),
	},
];

// Guards against: a status that no answer has passes for one of success, or of a refusal without effect (issue 56).
test.each(calls)('an answer to a $name has a status that one may have', async ({body, call, sound, odd}) => {
	for (const status of unknownStatuses) {
		// eslint-disable-next-line no-await-in-loop -- One upstream at a time.
		expect([status, await call(await start(status, body))]).toEqual([status, odd]);
	}

	expect(await call(await start('101', body, 'Connection: upgrade\r\nUpgrade: x\r\n'))).toEqual(odd);
	expect(await call(await start('200', body))).toEqual(sound);
});
