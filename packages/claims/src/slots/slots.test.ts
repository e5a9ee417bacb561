import {expect, test} from 'vitest';
import type {ClaimRequest} from '@gentianlift/types';
import {getKeyTimestamp} from './key-timestamp.js';
import {applyBatch, type Operation} from './batch.js';
import {claimLimits} from './limits.js';
import {createSlotState, parseSlotState, serializeSlotState} from './slot-state.js';

const context = {
	now: 1000, isGone: () => false, limits: {
		...claimLimits, maxClaimsPerSlot: 6, maxDetailedClaims: 2, maxBodyLength: 5,
	},
};

const createRequest = (key: string, request = `a.1.${key}`): ClaimRequest => ({
	key: {customer: 'kopi', key}, digest: 'd', request, host: 'a', incarnation: 1,
});

const claim = (key: string): Operation => ({kind: 'claim', request: createRequest(key)});
const finish = (key: string, body = 'ok'): Operation => ({
	kind: 'settle', settlement: {key: createRequest(key).key, request: `a.1.${key}`, outcome: {kind: 'finished', status: 200, body}},
});

test('reads the timestamp of a UUIDv7 and a ULID only', () => {
	expect(getKeyTimestamp('017F22E2-79B0-7CC3-98C4-DC0C0C07398F')).toBe(1_645_557_742_000);
	expect(getKeyTimestamp('01ARZ3NDEKTSV4RRFFQ69G5FAV')).toBe(1_469_922_850_259);
	expect(getKeyTimestamp('f47ac10b-58cc-4372-a567-0e02b2c3d479')).toBeUndefined();
	expect(getKeyTimestamp('order-17')).toBeUndefined();
});

test('parses the state that it serialized', () => {
	const {state} = applyBatch(createSlotState(), [claim('1'), claim('2'), claim('3'), finish('1')], context);
	expect(parseSlotState(serializeSlotState(state))).toEqual(state);
	expect(parseSlotState('{"claims":{}}')).toBeUndefined();
});

test('compacts the oldest settled claims but keeps their outcomes', () => {
	const {state} = applyBatch(createSlotState(), [claim('1'), finish('1'), claim('2'), claim('3'), claim('4')], context);
	expect(state.claims.size).toBe(3);
	const {answers} = applyBatch(state, [{kind: 'claim', request: createRequest('1', 'b.1.1')}], context);
	expect(answers).toMatchObject([{decision: {kind: 'done', claim: {outcome: {status: 200}}}}]);
});

test('a full slot refuses new keys and still decides on known ones', () => {
	const {state} = applyBatch(createSlotState(), ['1', '2', '3', '4', '5', '6'].map(key => claim(key)), context);
	const {answers} = applyBatch(state, [claim('7'), claim('6')], context);
	expect(answers).toMatchObject([{decision: {kind: 'full'}}, {decision: {kind: 'start'}}]);
});

test('drops the body of a response that is too long but keeps its status', () => {
	const {state} = applyBatch(createSlotState(), [claim('1'), finish('1', 'too long')], context);
	expect([...state.claims.values()][0]?.outcome).toEqual({kind: 'finished', status: 200});
});
