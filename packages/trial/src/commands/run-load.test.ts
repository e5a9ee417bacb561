import {expect, test} from 'vitest';
import {createSystemClock} from '@gentianlift/clock';
import {createFakeEngine} from '@gentianlift/fakes';
import {runLoad, type Arrival} from '../index.js';

const createArrival = (content: string): Arrival => {
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

test('a complete answer with the expected text is counted as complete, with its tokens', async () => {
	const engine = await createFakeEngine({timeFactor: 50});
	const [record] = await run(engine.listener.address, [createArrival('#tokens=4')]);
	await engine.close();
	expect(record).toMatchObject({outcome: 'complete', tokens: 4, errors: []});
});

test('an answer without its terminal event is counted as failed', async () => {
	const engine = await createFakeEngine({timeFactor: 50});
	const running = run(engine.listener.address, [createArrival('#tokens=100000')]);
	await expect.poll(() => engine.getState().tokensGenerated).toBeGreaterThan(2);
	await engine.listener.crash();
	const [record] = await running;
	await engine.close();
	expect(record).toMatchObject({outcome: 'failed', errors: ['connection']});
});

test('a complete answer to another prompt is counted as wrong', async () => {
	const engine = await createFakeEngine({timeFactor: 50});
	const other = createArrival('other #tokens=4').body ?? '';
	const [record] = await run(engine.listener.address, [{...createArrival('#tokens=4'), body: other}]);
	await engine.close();
	expect(record?.outcome).toBe('wrong');
});
