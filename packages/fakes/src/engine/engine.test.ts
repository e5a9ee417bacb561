import {expect, test} from 'vitest';
import {
	createFakeEngine, computeAnswer, getAnswerText, type EngineOptions,
} from './index.js';

const fastOptions: EngineOptions = {models: ['chat'], timeFactor: 50};
const getPrompt = (content: string) => ({model: 'chat', messages: [{role: 'user', content}]});

const postChat = async (url: string, body: unknown, headers: Record<string, string> = {}): Promise<Response> =>
	fetch(`${url}/v1/chat/completions`, {method: 'POST', headers, body: JSON.stringify(body)});

const readDeltas = async (answer: Response): Promise<string[]> => {
	const text = await answer.text();
	return text.split('\n\n')
		.filter(line => line.startsWith('data: {'))
		.map(line => JSON.parse(line.slice(6)) as {choices: Array<{delta: {content?: string}}>})
		.flatMap(chunk => chunk.choices.map(choice => choice.delta.content ?? ''))
		.filter(content => content !== '');
};

test('streams one event per token and ends with DONE', async () => {
	const engine = await createFakeEngine(fastOptions);
	const answer = await postChat(engine.listener.url, {...getPrompt('bar #tokens=5'), stream: true});
	const deltas = await readDeltas(answer);
	await engine.close();
	expect(deltas.join('')).toBe(getAnswerText(computeAnswer(getPrompt('bar #tokens=5'), 1), 5));
	expect(deltas).toHaveLength(5);
});

test('resumes an answer without gaps or repeated tokens', async () => {
	const engine = await createFakeEngine(fastOptions);
	const prompt = getPrompt('coil #tokens=8');
	const answer = computeAnswer(prompt, 1);
	const resume = {text: getAnswerText(answer, 3), tokens: 3};
	const deltas = await readDeltas(await postChat(engine.listener.url, {...prompt, stream: true, resume}));
	await engine.close();
	expect(resume.text + deltas.join('')).toBe(getAnswerText(answer, 8));
});

test('rejects a resume whose text does not match the answer', async () => {
	const engine = await createFakeEngine(fastOptions);
	const answer = await postChat(engine.listener.url, {...getPrompt('coil #tokens=8'), resume: {text: 'else', tokens: 1}});
	await engine.close();
	expect(answer.status).toBe(400);
});

test('rejects as not run while leaving and for a model that is not loaded', async () => {
	const engine = await createFakeEngine(fastOptions);
	const other = await postChat(engine.listener.url, {...getPrompt('x'), model: 'other'});
	engine.faults.leaving = true;
	const leaving = await postChat(engine.listener.url, getPrompt('x'));
	await engine.close();
	expect([other.status, other.headers.get('x-ran'), await other.json()]).toEqual([503, 'not-run', {error: {code: 'model-not-loaded'}}]);
	expect(await leaving.json()).toEqual({error: {code: 'leaving'}});
});

test('cancels by request id', async () => {
	const engine = await createFakeEngine(fastOptions);
	const answer = await postChat(engine.listener.url, {...getPrompt('#tokens=100000'), stream: true}, {'x-request-id': 'a.1.1'});
	const cancelled = await fetch(`${engine.listener.url}/v1/generations/a.1.1`, {method: 'DELETE'});
	await expect(answer.text()).rejects.toThrow();
	expect([cancelled.status, engine.getState().cancelled]).toEqual([204, 1]);
	await engine.close();
});

test('crashes on a matching prompt and restarts', async () => {
	const engine = await createFakeEngine(fastOptions);
	engine.faults.crashOnPrompt = 'poison';
	engine.faults.restartAfterMs = 1;
	await expect(postChat(engine.listener.url, getPrompt('poison #tokens=3'))).rejects.toThrow();
	await expect.poll(async () => fetch(`${engine.listener.url}/health`).then(({status}) => status, () => 0)).toBe(200);
	expect(engine.getState().crashes).toBe(1);
	await engine.close();
});

test('rejects a stale fencing number, unless it is set to ignore them', async () => {
	const sendOrder = async (url: string, fencingNumber: number) => fetch(`${url}/v1/orders`, {
		method: 'POST', body: JSON.stringify({id: `o${fencingNumber}`, fencingNumber, order: {kind: 'load', model: 'm2'}}),
	}).then(({status}) => status);
	const checked = await createFakeEngine(fastOptions);
	const ignored = await createFakeEngine({...fastOptions, fencing: 'ignored'});
	expect([await sendOrder(checked.listener.url, 2), await sendOrder(checked.listener.url, 1)]).toEqual([200, 409]);
	expect([await sendOrder(ignored.listener.url, 2), await sendOrder(ignored.listener.url, 1)]).toEqual([200, 200]);
	expect(checked.getState().holdings.models).toContain('m2');
	await Promise.all([checked.close(), ignored.close()]);
});

test('a crash does not start queued generations', async () => {
	const engine = await createFakeEngine({...fastOptions, slots: 1});
	const running = postChat(engine.listener.url, {...getPrompt('a #tokens=100000'), stream: true});
	const waiting = postChat(engine.listener.url, {...getPrompt('b #tokens=100000'), stream: true});
	await expect.poll(() => [engine.getState().running, engine.getState().waiting]).toEqual([1, 1]);
	await fetch(`${engine.listener.url}/fake/faults`, {method: 'POST', body: '{"crash":true,"restartAfterMs":0}'}).catch(() => undefined);
	await Promise.allSettled([running, waiting]);
	expect(engine.getState().started).toBe(1);
	await engine.close();
});
