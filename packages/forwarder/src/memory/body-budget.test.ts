import {createManualClock, type ManualClock} from '@gentianlift/clock';
import {createLogger, createSilentLogger} from '@gentianlift/logger';
import {createMetrics} from '@gentianlift/metrics';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createBodyBudget, type BodyBudget, type HeldBody} from './body-budget.js';
import {createResidentMemory, type ResidentMemory} from './resident-memory.js';

const limit = 1_000_000;
/** A body of a usual size, and one that is larger. */
const [usual, large] = [50_000, 150_000];
/** Time after which an unfinished body gives way to a large one. */
const lateAfter = 1001;

/** Memory of a process that has enough. */
const ample: ResidentMemory = {isShort: () => false};

const createBudget = (clock = createManualClock(), residentMemory = ample): {budget: BodyBudget; clock: ManualClock} => ({
	clock,
	budget: createBodyBudget({
		limit, residentMemory, clock, logger: createSilentLogger(), metrics: createMetrics(),
	}),
});

/** Opens an account; returns it and whether it was given up. */
const open = (budget: BodyBudget, bytes: number): {held: HeldBody | undefined; isReleased: () => boolean} => {
	let isReleased = false;
	const held = budget.open({callerRequestId: 'r', bytes});
	held?.hold(0, () => {
		isReleased = true;
	});
	return {held, isReleased: () => isReleased};
};

/** Opens accounts until there is no room; returns those that were opened. */
const fill = (budget: BodyBudget, bytes: number): Array<ReturnType<typeof open>> => {
	const opened: Array<ReturnType<typeof open>> = [];
	for (;;) {
		const next = open(budget, bytes);
		if (next.held === undefined) {
			return opened;
		}

		opened.push(next);
	}
};

// Guards against: bodies of large requests take all memory of a host, and requests of a usual size are refused.
test('large bodies leave room for usual ones', () => {
	const {budget} = createBudget();
	const filled = fill(budget, large);
	for (const {held} of filled) {
		held!.keep(large);
	}

	expect(filled).toHaveLength(5);
	expect(open(budget, usual).held).toBeDefined();
});

// Guards against: large bodies come faster than the memory of those before them is collected, and the process passes its limit.
test('while the process is short of memory only bodies of a usual size are taken', () => {
	let resident = 700_000;
	const {budget} = createBudget(createManualClock(), createResidentMemory(1_000_000, () => resident));
	const taken = open(budget, large);
	resident = 800_000;
	expect(open(budget, large).held).toBeUndefined();
	expect(open(budget, usual).held).toBeDefined();
	expect(taken.isReleased()).toBe(false);
	resident = 700_000;
	expect(open(budget, large).held).toBeDefined();
});

// Guards against: callers that never finish their bodies take the room of those that do.
test('an unfinished body gives way to a usual one at once, and to a large one when it is late', () => {
	const {budget, clock} = createBudget();
	const filled = fill(budget, large);
	expect(filled.some(({isReleased}) => isReleased())).toBe(false);
	clock.pause(lateAfter);
	expect(open(budget, large).held).toBeDefined();
	expect(filled.map(({isReleased}) => isReleased())).toEqual([true, false, false, false, false]);

	for (let index = 0; index < 10; index++) {
		expect(open(budget, usual).held).toBeDefined();
	}

	expect(filled[1]!.isReleased()).toBe(true);
	expect(budget.getHeldBytes()).toBeLessThanOrEqual(limit);
});

// Guards against: unfinished bodies are given up for one that has no room beside the whole ones either.
test('no unfinished body gives way in vain', () => {
	const {budget, clock} = createBudget();
	const unfinished = open(budget, usual);
	open(budget, large * 4).held!.keep(large * 4);
	clock.pause(lateAfter);
	expect(open(budget, large * 2).held).toBeUndefined();
	expect(unfinished.isReleased()).toBe(false);
});

// Guards against: a body without a declared length grows without limit.
test('a body that outgrows the limit is given up', () => {
	const {budget} = createBudget();
	const body = open(budget, 0);
	body.held!.hold(limit, () => undefined);
	expect(budget.getHeldBytes()).toBe(0);
	expect(budget.countUnfinished()).toBe(0);
});

// Guards against: unfinished bodies, however small, take all places, and sound callers are refused.
test('the oldest of very many unfinished bodies gives way to a new one', () => {
	const {budget} = createBudget();
	const opened = Array.from({length: 1501}, () => open(budget, 1));
	expect(opened[0]!.isReleased()).toBe(true);
	expect(opened.filter(({isReleased}) => isReleased())).toHaveLength(1);
	expect(budget.countUnfinished()).toBe(1500);
});

// Guards against: the memory of a body is counted for ever, or twice, and a host refuses requests with room to spare.
test('a body that has ended leaves its room to others', () => {
	const {budget} = createBudget();
	for (let round = 0; round < 20; round++) {
		const {held} = open(budget, large);
		held!.keep(large);
		held!.end();
		held!.end();
	}

	expect(budget.getHeldBytes()).toBe(0);
	expect(fill(budget, large)).toHaveLength(5);
});

// Guards against: a refusal leaves no trace by which its cause can be found.
test('each refusal is counted and logged with its request, reason and bytes', () => {
	const lines: string[] = [];
	const metrics = createMetrics();
	const budget = createBodyBudget({
		limit, residentMemory: ample, clock: createManualClock(), metrics, logger: createLogger('info', line => {
			lines.push(line);
		}),
	});
	expect(budget.open({callerRequestId: 'a1', bytes: limit})).toBeUndefined();
	expect(metrics.getValue('bodies_refused_total', {reason: 'bytes'})).toBe(1);
	expect(lines.join('\n')).toMatch(/event=body-refused request=a1 reason=bytes bytes=1000000 held=0 limit=1000000 unfinished=0/v);
});

const step = fc.record({
	kind: fc.constantFrom('open', 'grow', 'keep', 'end', 'wait'), bytes: fc.integer({min: 0, max: limit}), index: fc.nat(),
});

// Guards against: an accepted request whose body is whole loses it for memory, or the sum passes the limit.
test('whole bodies are never given up, and the sum never exceeds the limit, whatever is sent', () => {
	fc.assert(fc.property(fc.array(step, {maxLength: 200}), steps => {
		const {budget, clock} = createBudget();
		const bodies: Array<{held: HeldBody; bytes: number; isWhole: boolean; isGone: boolean}> = [];
		for (const {kind, bytes, index} of steps) {
			const body = bodies[index % Math.max(1, bodies.length)];
			if (kind === 'wait') {
				clock.pause(bytes % 2000);
			} else if (kind === 'open') {
				const size = bytes % 300_000;
				const held = budget.open({callerRequestId: undefined, bytes: size});
				if (held !== undefined) {
					const opened = {
						held, bytes: size, isWhole: false, isGone: false,
					};
					bodies.push(opened);
					held.hold(0, () => {
						expect(opened.isWhole).toBe(false);
						opened.isGone = true;
					});
				}
			} else if (body !== undefined && !body.isGone) {
				if (kind === 'grow' && !body.isWhole) {
					body.bytes = Math.max(body.bytes, bytes % 300_000);
					body.held.hold(body.bytes, () => {
						body.isGone = true;
					});
				} else if (kind === 'keep' && !body.isWhole) {
					body.isWhole = true;
					body.held.keep(body.bytes);
				} else if (kind === 'end') {
					body.isGone = true;
					body.held.end();
				}
			}

			const sum = bodies.reduce((total, {isGone, bytes: size}) => total + (isGone ? 0 : size), 0);
			expect(budget.getHeldBytes()).toBe(sum);
			expect(sum).toBeLessThanOrEqual(limit);
		}
	}), {seed: 1, numRuns: 300});
});

// Guards against: the body of a request that was refused goes on arriving, and is counted for ever or not at all.
test('a body that arrives after its end is released and counts nothing', () => {
	const {budget} = createBudget();
	const held = budget.open({callerRequestId: 'r', bytes: 0})!;
	held.end();
	let releases = 0;
	held.hold(usual, () => {
		releases += 1;
	});
	held.keep(usual);
	expect(releases).toBe(1);
	expect(budget.getHeldBytes()).toBe(0);
	expect(fill(budget, large)).toHaveLength(5);
});
