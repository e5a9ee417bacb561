import {
	answerText, buildOddAnswers, malformedLines, writeRaw, type RawHandler,
} from '@gentianlift/http/testing';
import {expect, onTestFinished, test} from 'vitest';
import {startRawUpstream, type RawUpstream} from './testing-raw.js';
import {getRunState} from './index.js';

const start = async (handle: RawHandler): Promise<RawUpstream> => startRawUpstream(handle, onTestFinished);

const oddAnswers = Object.entries(malformedLines).flatMap(([name, line]) => buildOddAnswers(name, line, 'Content-Type: application/json\r\n'));
const soundAnswers = buildOddAnswers('a sound line', 'X-A: sound', 'Content-Type: application/json\r\n');

/** Calls a service; returns the status and the body of its response if it has one, or whether the call may have run. */
const callService = async ({client, address}: RawUpstream) => {
	const response = await client.callService({
		address, method: 'POST', path: '/orders', headers: {}, body: '{}',
	});
	if (response.kind !== 'answered') {
		return {kind: response.kind, ran: getRunState(response)};
	}

	const pieces: string[] = [];
	for await (const {bytes} of response.chunks) {
		pieces.push(String(bytes));
	}

	return {kind: response.kind, status: response.status, body: pieces.join('')};
};

// Guards against: a line of a service's head that is no field reaches a caller, or the rest of the head as a body, and is kept as a booking's result (issue 56).
test('a service\'s head with a line that is no field is no response, and a sound one is', async () => {
	for (const odd of oddAnswers) {
		// eslint-disable-next-line no-await-in-loop -- One upstream at a time.
		expect([odd.name, await callService(await start(answerText(odd)))]).toEqual([odd.name, {kind: 'reset', ran: 'unknown'}]);
	}

	for (const sound of soundAnswers) {
		// eslint-disable-next-line no-await-in-loop -- One upstream at a time.
		expect([sound.name, await callService(await start(answerText(sound)))]).toEqual([sound.name, {kind: 'answered', status: 200, body: '{}'}]);
	}
});

// Guards against: an upstream's word that it hasn't run a request is believed although its head is none, so that the request is sent again.
test('a malformed head says nothing of whether a call ran', async () => {
	const getAnswer = (line: string): string => `HTTP/1.1 503 X\r\nX-Ran: not-run\r\n${line}\r\nContent-Length: 0\r\n\r\n`;
	expect(await callService(await start(socket => {
		writeRaw(socket, getAnswer('X A: odd'));
	}))).toEqual({kind: 'reset', ran: 'unknown'});
	expect(await callService(await start(socket => {
		writeRaw(socket, getAnswer('X-A: sound'));
	}))).toEqual({kind: 'refused', ran: 'not-run'});
});

const events = 'data: {"choices":[{"delta":{"content":"a"}}]}\n\ndata: [DONE]\n\n';
const report = JSON.stringify({
	at: 1, running: 0, waiting: 0, freeTokens: 1, capacityTokens: 1, models: [],
});
const page = '{"events":[],"next":1}';

/** What each call to an engine says of its answer, by the answer's body. */
const engineCalls: Array<{name: string; body: string; call: (upstream: RawUpstream) => Promise<unknown>; sound: unknown; odd: unknown}> = [
	{
		name: 'generation', body: events, sound: 'started', odd: 'reset',
		async call({client, address}) {
			const {kind} = await client.generate({address, body: '{}', headers: {'x-request-id': 'a', 'x-priority': '1'}});
			return kind;
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
		name: 'export', body: '{}', sound: true, odd: false,
		call: async ({client, address}) => client.exportCache(address, 'a'),
	},
	{
		name: 'load report', body: report, sound: JSON.parse(report), odd: undefined,
		call: async ({client, address}) => client.readLoad(address),
	},
	{
		name: 'cache events', body: page, sound: JSON.parse(page), odd: undefined,
		call: async ({client, address}) => client.readCacheEvents(address, 0),
	},
	{
		name: 'health check', body: '{}', sound: 'success', odd: 'reset',
		call: async ({client, address}) => client.checkHealth(address),
	},
];

// Guards against: as above, for the answers of engines to generations, orders and health checks.
test.each(engineCalls)('an engine\'s head with a line that is no field is no response to a $name', async ({body, call, sound, odd}) => {
	const answer = async (line: string): Promise<unknown> => call(await start(socket => {
		writeRaw(socket, `HTTP/1.1 200 OK\r\n${line}\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
	}));
	for (const line of Object.values(malformedLines)) {
		// eslint-disable-next-line no-await-in-loop -- One upstream at a time.
		expect([line, await answer(line)]).toEqual([line, odd]);
	}

	expect(await answer('X-A: sound')).toEqual(sound);
});
