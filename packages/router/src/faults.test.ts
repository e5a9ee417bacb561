import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {getStreamedText} from './testing/get-streamed-text.js';
import {startFleet, type TestFleet} from './testing/start-fleet.js';

let fleet: TestFleet;

beforeAll(async () => {
	fleet = await startFleet(2, {
		silenceLimits: {
			caller: 30_000, firstToken: 60_000, betweenTokens: 1000, service: 30_000, peer: 2000, platform: 2000, watch: 10_000,
		},
	});
});

afterAll(async () => {
	await fleet.close();
});

const sendChat = async (content: string, maxTokens: number, {host = 0, model = 'counter-8b'} = {}): Promise<Response> =>
	fetch(`http://${fleet.hosts[host]?.settings.callerAddress}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${fleet.key}`},
		body: JSON.stringify({
			model, max_tokens: maxTokens, stream: true, messages: [{role: 'user', content}],
		}),
	});

const readStream = async (pending: Promise<Response>): Promise<string> => {
	const response = await pending;
	return response.text();
};

const getEngines = () => [...fleet.fakes.engines.values()];

type Engine = ReturnType<typeof getEngines>[number];

const setFaults = async (engine: Engine | undefined, faults: Engine['faults']): Promise<void> => {
	await fetch(`${engine?.listener.url}/fake/faults`, {method: 'POST', body: JSON.stringify(faults)});
};

const findRunning = () => getEngines().find(engine => engine.getState().running > 0);

test('a response whose engine crashes is resumed on another one without a gap or repeated text', async () => {
	const expectedText = getStreamedText(await readStream(sendChat('crash in the middle #tokens=120', 200)));
	const response = await sendChat('crash in the middle #tokens=120', 200, {host: 1});
	await expect.poll(() => findRunning()?.getState().running).toBe(1);
	const engine = findRunning();
	await setFaults(engine, {crash: true, restartAfterMs: 300});
	const stream = await response.text();
	expect(getStreamedText(stream)).toBe(expectedText);
	expect(stream.endsWith('data: [DONE]\n\n')).toBe(true);
});

test('a response whose connection goes silent is resumed on another engine without a gap or repeated text', async () => {
	const expectedText = getStreamedText(await readStream(sendChat('silent in the middle #tokens=120', 200)));
	const response = await sendChat('silent in the middle #tokens=120', 200, {host: 1});
	await expect.poll(() => findRunning()?.getState().running).toBe(1);
	const engine = findRunning();
	await setFaults(engine, {silent: 'open'});
	const stream = await response.text();
	expect(getStreamedText(stream)).toBe(expectedText);
	expect(stream.endsWith('data: [DONE]\n\n')).toBe(true);
});

test('a request that crashes every engine that runs it crashes at most two', async () => {
	for (const engine of getEngines()) {
		Object.assign(engine.faults, {crashOnPrompt: 'poison', restartAfterMs: 200});
	}

	const before = getEngines().reduce((sum, engine) => sum + engine.getState().crashes, 0);
	const first = await sendChat('poison here', 50);
	expect(first.headers.get('x-error-kind') ?? (await first.text())).toContain('crashes-upstreams');
	const repeated = await sendChat('  Poison  HERE ', 50, {host: 1});
	expect(repeated.status).toBe(422);
	await repeated.text();
	const after = getEngines().reduce((sum, engine) => sum + engine.getState().crashes, 0);
	expect(after - before).toBe(2);
});

test('a draining engine gets no new requests, and is available again after the drain', async () => {
	const serving = getEngines().find(engine => engine.getState().holdings.models.includes('reader-14b'));
	const leaving = serving;
	const id = [...fleet.fakes.engines].find(([, engine]) => engine === leaving)?.[0] ?? '';
	const operators = `http://${fleet.hosts[0]?.settings.operatorAddress}/operator`;
	await fetch(`${operators}/upstreams/${id}/drain`, {method: 'POST'});
	const readStandings = async (host: number): Promise<string[]> => {
		const answer = await fetch(`http://${fleet.hosts[host]?.settings.operatorAddress}/operator/upstreams`);
		const {upstreams} = await answer.json() as {upstreams: Array<{id: string; standing: string}>};
		return upstreams.filter(upstream => upstream.id === id).map(({standing}) => standing);
	};

	await expect.poll(async () => readStandings(1)).toEqual(['leaving']);
	const before = leaving?.getState().received;
	await Promise.all(Array.from({length: 8}, async (_, index) => readStream(sendChat(`read ${index}`, 5, {model: 'reader-14b', host: index % 2}))));
	expect(leaving?.getState().received).toBe(before);
	await fetch(`${operators}/upstreams/${id}/undrain`, {method: 'POST'});
	await expect.poll(async () => readStandings(1)).toEqual(['available']);
});
