import {expect, test} from 'vitest';
import type {ClaimRequest} from '@gentianlift/types';
import {getKeyTime} from './key-time.js';
import {applyBatch, type Operation} from './batch.js';
import {claimLimits} from './limits.js';
import {createSlotState, readSlotState, writeSlotState} from './slot-state.js';

const context = {
	now: 1000, isGone: () => false, limits: {
		...claimLimits, slotClaims: 6, detailedClaims: 2, answerLength: 5,
	},
};

const createRequest = (key: string, request = `a.1.${key}`): ClaimRequest => ({
	key: {customer: 'kopi', key}, digest: 'd', request, host: 'a', incarnation: 1,
});

const claim = (key: string): Operation => ({kind: 'claim', request: createRequest(key)});
const finish = (key: string, body = 'ok'): Operation => ({
	kind: 'settle', settlement: {key: createRequest(key).key, request: `a.1.${key}`, outcome: {kind: 'finished', status: 200, body}},
});

test('reads the time of a UUIDv7 and a ULID only', () => {
	expect(getKeyTime('017F22E2-79B0-7CC3-98C4-DC0C0C07398F')).toBe(1_645_557_742_000);
	expect(getKeyTime('01ARZ3NDEKTSV4RRFFQ69G5FAV')).toBe(1_469_922_850_259);
	expect(getKeyTime('f47ac10b-58cc-4372-a567-0e02b2c3d479')).toBeUndefined();
	expect(getKeyTime('order-17')).toBeUndefined();
});

test('a slot survives its text', () => {
	const {state} = applyBatch(createSlotState(), [claim('1'), claim('2'), claim('3'), finish('1')], context);
	expect(readSlotState(writeSlotState(state))).toEqual(state);
	expect(readSlotState('{"claims":{}}')).toBeUndefined();
});

test('keeps how the oldest ended without their details', () => {
	const {state} = applyBatch(createSlotState(), [claim('1'), finish('1'), claim('2'), claim('3'), claim('4')], context);
	expect(state.claims.size).toBe(3);
	const {answers} = applyBatch(state, [{kind: 'claim', request: createRequest('1', 'b.1.1')}], context);
	expect(answers).toMatchObject([{decision: {kind: 'done', claim: {outcome: {status: 200}}}}]);
});

test('a full slot refuses new keys and knows the old', () => {
	const {state} = applyBatch(createSlotState(), ['1', '2', '3', '4', '5', '6'].map(key => claim(key)), context);
	const {answers} = applyBatch(state, [claim('7'), claim('6')], context);
	expect(answers).toMatchObject([{decision: {kind: 'full'}}, {decision: {kind: 'start'}}]);
});

test('drops an answer that is too long, not its status', () => {
	const {state} = applyBatch(createSlotState(), [claim('1'), finish('1', 'too long')], context);
	expect([...state.claims.values()][0]?.outcome).toEqual({kind: 'finished', status: 200});
});
