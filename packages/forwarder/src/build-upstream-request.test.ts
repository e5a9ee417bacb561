import {createManualClock} from '@gentianlift/clock';
import {createSilentLogger} from '@gentianlift/logger';
import {buildConfiguration, buildRoute, buildUpstream} from '@gentianlift/routing/testing';
import {expect, test} from 'vitest';
import {buildUpstreamRequest} from './build-upstream-request.js';
import {createProgress} from './call.js';
import type {ForwarderContext} from './context.js';
import {buildTestCall, buildTestPrompt} from './testing-call.js';
import {createTestView} from './testing-view.js';

const route = buildRoute({kind: 'streaming', isResumable: true, timeout: 1000});
const upstream = buildUpstream({id: 'u1', softwareVersion: 'v1'});

/** Returns the longest wait for a connection to the upstream, beside another one of a version. */
const getConnectionWait = (streamVersion: string | undefined, otherVersion: string): number => {
	const view = createTestView(createSilentLogger(), buildConfiguration(), [upstream, buildUpstream({id: 'u2', softwareVersion: otherVersion})]);
	const context: Partial<ForwarderContext> = {clock: createManualClock(0), view};
	const call = buildTestCall({route, arrivedAt: 0, prompt: buildTestPrompt('p', 10)});
	const progress = {...createProgress(), streamVersion, tried: new Set(['u1@1'])};
	return buildUpstreamRequest(call, progress, {upstream, permit: {take: () => true, release: () => undefined}}, context as ForwarderContext).connectionWait;
};

test('a request waits for a connection until its deadline unless another upstream can run it', () => {
	expect(getConnectionWait(undefined, 'v2')).toBe(400);
	expect(getConnectionWait('v1', 'v1')).toBe(400);
	expect(getConnectionWait('v1', 'v2')).toBe(1000);
});
