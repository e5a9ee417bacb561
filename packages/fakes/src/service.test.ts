import {expect, test} from 'vitest';
import {createFakeService} from './index.js';

const postBooking = async (url: string, key: string): Promise<Response> =>
	fetch(`${url}/allocations`, {method: 'POST', headers: {'idempotency-key': key, 'x-request-id': 'a.1.1'}, body: '{"tons":3}'});

test('records calls and counts repeated idempotency keys', async () => {
	const service = await createFakeService({serviceTime: 0});
	const answer = await postBooking(service.listener.url, 'k1');
	await postBooking(service.listener.url, 'k1');
	expect(await answer.json()).toMatchObject({
		booked: {
			path: '/allocations', idempotencyKey: 'k1', request: 'a.1.1', body: '{"tons":3}',
		},
	});
	expect([service.calls.length, service.getState().doubled]).toEqual([2, 1]);
	await service.close();
});

test('rejects a call as not run while all slots are busy, and does not record it', async () => {
	const service = await createFakeService({slots: 0});
	const answer = await postBooking(service.listener.url, 'k1');
	expect([answer.status, answer.headers.get('x-ran'), service.calls.length]).toEqual([503, 'not-run', 0]);
	await service.close();
});

test('a call whose reply is lost is executed and recorded', async () => {
	const service = await createFakeService({serviceTime: 0});
	service.faults.loseReplies = 1;
	await expect(postBooking(service.listener.url, 'k1')).rejects.toThrow();
	expect(service.calls).toHaveLength(1);
	await service.close();
});
