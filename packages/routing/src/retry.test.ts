import {expect, test} from 'vitest';
import {mayExecuteAgain} from './configuration.js';
import {createCrashSuspects} from './crash-suspects.js';
import {addResult, createFailureCounts, getFailureRatio} from './failure-counts.js';
import {decideRetry, attemptLimit, type FailedAttempt} from './retry.js';
import {createRetryBudget} from './retry-budget.js';
import {buildRoute} from './testing.js';

const attempt: FailedAttempt = {
	isNotExecuted: false, mayExecuteAgain: true, possibleExecutions: 1, maxUpstreams: 2, attempts: 1, mayCrashUpstream: false, remainingTime: 500,
};

test('only idempotent requests and resumable streams may execute again', () => {
	expect(mayExecuteAgain(buildRoute({kind: 'idempotent'}))).toBe(true);
	expect(mayExecuteAgain(buildRoute({kind: 'non-idempotent', isResumable: true}))).toBe(false);
	expect(mayExecuteAgain(buildRoute({kind: 'streaming'}))).toBe(false);
	expect(mayExecuteAgain(buildRoute({kind: 'streaming', isResumable: true}))).toBe(true);
});

test('a request that may have executed is not retried unless it may execute again', () => {
	expect(decideRetry({...attempt, mayExecuteAgain: false})).toEqual({kind: 'stop', reason: 'may-have-run'});
	expect(decideRetry({...attempt, mayExecuteAgain: false, isNotExecuted: true})).toEqual({kind: 'resend'});
	expect(decideRetry(attempt)).toEqual({kind: 'resend'});
});

test('a request executes on no more upstreams than its route allows', () => {
	expect(decideRetry({...attempt, possibleExecutions: 2})).toEqual({kind: 'stop', reason: 'upstreams'});
	expect(decideRetry({...attempt, possibleExecutions: 2, isNotExecuted: true})).toEqual({kind: 'resend'});
});

test('a request that may crash another upstream is not retried', () => {
	expect(decideRetry({...attempt, mayCrashUpstream: true})).toEqual({kind: 'stop', reason: 'suspect'});
});

test('attempts stop at their maximum number and when the remaining time is too short', () => {
	expect(decideRetry({...attempt, isNotExecuted: true, attempts: attemptLimit})).toEqual({kind: 'stop', reason: 'sends'});
	expect(decideRetry({...attempt, remainingTime: 5})).toEqual({kind: 'stop', reason: 'deadline'});
});

test('all hosts together stay within the retry limit in each window', () => {
	const limit = {ratio: 0.2, minimum: 54, window: 10_000};
	const budgets = Array.from({length: 7}, () => createRetryBudget(limit));
	let retries: number[] = [];
	let requests: number[] = [];
	for (let now = 0; now < 40_000; now += 100) {
		for (const budget of budgets) {
			budget.addRequest(now);
			requests.push(now);
			while (budget.take(now, budgets.length)) {
				retries.push(now);
			}
		}

		retries = retries.filter(time => time > now - limit.window);
		requests = requests.filter(time => time > now - limit.window);
		expect(retries.length).toBeLessThanOrEqual((limit.ratio * requests.length) + limit.minimum);
	}
});

test('a change of the retry limit takes effect at the next retry', () => {
	const limit = {ratio: 0, minimum: 0, window: 10_000};
	const budget = createRetryBudget(limit);
	budget.addRequest(0);
	expect(budget.take(1, 1)).toBe(false);
	limit.minimum = 4;
	expect(budget.take(2, 1)).toBe(true);
});

test('a retry that was taken and is given back can be taken again', () => {
	const budget = createRetryBudget({ratio: 0, minimum: 2, window: 10_000});
	budget.restore();
	expect(budget.take(0, 1)).toBe(true);
	expect(budget.take(5000, 1)).toBe(false);
	budget.restore();
	expect(budget.take(6000, 1)).toBe(true);
	expect(budget.take(6000, 1)).toBe(false);
});

test('a request is blocked after crashes of three different upstreams', () => {
	const suspects = createCrashSuspects();
	expect(suspects.isSuspected('f', 0)).toBe(false);
	expect(suspects.addCrash({suspect: 'f', upstream: 'a', age: 0}, 0)).toBe(true);
	expect(suspects.addCrash({suspect: 'f', upstream: 'a', age: 0}, 0)).toBe(false);
	suspects.addCrash({suspect: 'f', upstream: 'b', age: 0}, 0);
	expect(suspects.isBlocked('f', 1)).toBe(false);
	suspects.addCrash({suspect: 'f', upstream: 'c', age: 0}, 0);
	expect(suspects.isBlocked('f', 1)).toBe(true);
	expect(suspects.isBlocked('g', 1)).toBe(false);
	expect(suspects.addGoodEnd('f', 1)).toBe(true);
	expect(suspects.isBlocked('f', 1)).toBe(false);
	expect(suspects.isSuspected('f', 1)).toBe(false);
});

test('failures lose weight with time, and a single one does not dominate', () => {
	let rate = createFailureCounts(0);
	for (let index = 0; index < 20; index++) {
		rate = addResult(rate, true, 0);
	}

	const recentRatio = getFailureRatio(rate, 0);
	expect(recentRatio).toBeGreaterThan(0.8);
	expect(getFailureRatio(rate, 30_000)).toBeLessThan(recentRatio / 10);
	expect(getFailureRatio(addResult(createFailureCounts(0), true, 0), 0)).toBeLessThan(0.3);
});
