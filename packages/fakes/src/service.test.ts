import {expect, test} from 'vitest';
import {createService} from './index.js';

const book = async (url: string, key: string): Promise<Response> =>
	fetch(`${url}/allocations`, {method: 'POST', headers: {'idempotency-key': key, 'x-request-id': 'a.1.1'}, body: '{"tons":3}'});

test('records bookings and counts doubles', async () => {
	const service = await createService({serviceTime: 0});
	const answer = await book(service.listener.url, 'k1');
	await book(service.listener.url, 'k1');
	expect(await answer.json()).toMatchObject({
		booked: {
			path: '/allocations', idempotencyKey: 'k1', request: 'a.1.1', body: '{"tons":3}',
		},
	});
	expect([service.calls.length, service.getState().doubled]).toEqual([2, 1]);
	await service.close();
});

test('refuses as not run while busy and does not record the call', async () => {
	const service = await createService({slots: 0});
	const answer = await book(service.listener.url, 'k1');
	expect([answer.status, answer.headers.get('x-ran'), service.calls.length]).toEqual([503, 'not-run', 0]);
	await service.close();
});

test('a lost reply leaves the booking recorded', async () => {
	const service = await createService({serviceTime: 0});
	service.faults.loseReplies = 1;
	await expect(book(service.listener.url, 'k1')).rejects.toThrow();
	expect(service.calls).toHaveLength(1);
	await service.close();
});
