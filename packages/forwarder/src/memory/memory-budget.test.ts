import {createSilentLogger} from '@gentianlift/logger';
import {createMetrics} from '@gentianlift/metrics';
import {expect, test} from 'vitest';
import {createMemoryBudget} from './memory-budget.js';

const createBudget = (limit: number) => createMemoryBudget({limit, logger: createSilentLogger(), metrics: createMetrics()});

// Guards against: answers without end take the memory of a host, or sound answers are given up for them.
test('the call that holds most gives its bytes up once all hold more than the limit', () => {
	const budget = createBudget(100);
	const released: string[] = [];
	const [large, small] = [budget.open('large'), budget.open('small')];
	large.hold(80, () => {
		released.push('large');
	});
	small.hold(20, () => {
		released.push('small');
	});
	expect(released).toEqual([]);
	small.hold(21, () => {
		released.push('small');
	});
	expect(released).toEqual(['large']);
	expect(budget.getHeldBytes()).toBe(21);
});

test('bytes that a call no longer holds leave room for others', () => {
	const budget = createBudget(100);
	const first = budget.open('first');
	first.hold(80, () => {
		throw new Error('released');
	});
	first.end();
	budget.open('second').hold(90, () => {
		throw new Error('released');
	});
	expect(budget.getHeldBytes()).toBe(90);
});

test('a call that alone holds more than the limit gives its bytes up', () => {
	const budget = createBudget(100);
	let isReleased = false;
	budget.open('only').hold(101, () => {
		isReleased = true;
	});
	expect(isReleased).toBe(true);
	expect(budget.getHeldBytes()).toBe(0);
});
