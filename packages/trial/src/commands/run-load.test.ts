import {expect, test} from 'vitest';
import {createSystemClock} from '@gentianlift/clock';
import {createEngine} from '@gentianlift/fakes';
import {runLoad, type Arrival} from '../index.js';

const getChat = (content: string): Arrival => {
	const prompt = {model: 'chat', messages: [{role: 'user', content}]};
	return {
		at: 0, className: 'quote', customer: 'a', method: 'POST', path: '/v1/chat/completions', prompt, body: JSON.stringify({...prompt, stream: true}),
	};
};

const run = async (address: string, arrivals: Arrival[]) => runLoad({
	deployment: {
		routers: [{settings: {callerAddress: address}}], keys: new Map(), clock: createSystemClock(),
	},
	arrivals,
	seed: 1,
	retries: 0,
});

test('checks whole answers token by token', async () => {
	const engine = await createEngine({timeFactor: 50});
	const [record] = await run(engine.listener.address, [getChat('#tokens=4')]);
	await engine.close();
	expect(record).toMatchObject({outcome: 'complete', tokens: 4, errors: []});
});

test('an answer without its terminal event has failed', async () => {
	const engine = await createEngine({timeFactor: 50});
	const running = run(engine.listener.address, [getChat('#tokens=100000')]);
	await expect.poll(() => engine.getState().tokensGenerated).toBeGreaterThan(2);
	await engine.listener.crash();
	const [record] = await running;
	await engine.close();
	expect(record).toMatchObject({outcome: 'failed', errors: ['connection']});
});

test('an answer to another prompt is wrong', async () => {
	const engine = await createEngine({timeFactor: 50});
	const other = getChat('other #tokens=4').body ?? '';
	const [record] = await run(engine.listener.address, [{...getChat('#tokens=4'), body: other}]);
	await engine.close();
	expect(record?.outcome).toBe('wrong');
});
