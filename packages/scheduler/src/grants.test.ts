import {expect, test} from 'vitest';
import {
	createTestConfiguration, createTestFleet, createTestRequest, watch,
} from './testing/fleet.js';

const finish = (request: string, attempt = 1) => ({
	request, attempt, kind: 'finished' as const, tokens: 50, duration: 1000, firstTokenAfter: 100,
});

test('grants over hosts in order of rank', async () => {
	const fleet = createTestFleet(createTestConfiguration([1]), ['a', 'b']);
	const [a, b] = fleet.hosts;
	const first = watch(a!, createTestRequest(fleet, 'first', {rank: 1}));
	await fleet.clock.advance(20);
	const low = watch(a!, createTestRequest(fleet, 'low', {rank: 1}));
	const high = watch(b!, createTestRequest(fleet, 'high'));
	await fleet.clock.advance(20);
	expect(first.grant?.kind).toBe('granted');
	a!.client.end(finish('first'));
	await fleet.clock.advance(20);
	expect(high.grant?.kind).toBe('granted');
	expect(low.grant).toBeUndefined();
	b!.client.end(finish('high'));
	await fleet.clock.advance(20);
	expect(low.grant?.kind).toBe('granted');
});
