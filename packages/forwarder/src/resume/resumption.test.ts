import {
	createStreamOrigins, createVersionHistory, getUpstreamKey, streamLifetime, type StreamOrigin,
} from '@gentianlift/routing';
import {buildRoute, buildUpstream} from '@gentianlift/routing/testing';
import {createLogger} from '@gentianlift/logger';
import {createMetrics} from '@gentianlift/metrics';
import {expect, test} from 'vitest';
import {createManualClock} from '@gentianlift/clock';
import type {ForwarderContext} from '../context.js';
import type {CallerHead} from '../protocol.js';
import {createResumptionResolver, findStreamOrigin} from './resumption.js';

const route = buildRoute({kind: 'streaming', isResumable: true, timeout: 1000});
/** Longest age of a stream when it is taken up. */
const maxAge = streamLifetime;

const getHead = (changes: Partial<CallerHead> = {}): CallerHead => ({
	callerRequestId: 'a2', hostname: 'a.example', key: undefined, clientTimeout: undefined, prompt: undefined, sharedParts: [],
	lastEventId: 2, resumedRequestId: 'a1', declaresBody: false, forwarded: [], forwardedToHosts: [], ...changes,
});

type HostState = {
	/** Versions that are listed from time 0 on. */
	listed?: string[];
	/** Version of an upstream that was listed until time 1. */
	removed?: string;
	now?: number;
	isCurrent?: boolean;
	/** Reads the changes of the store up to now; returns whether it has answered. */
	confirm?: () => boolean;
	/** What other hosts answer. */
	told?: StreamOrigin;
};

/** Creates the resolver of a host, and its memory of streams. */
const createHost = ({
	listed = ['v1'], removed, now = maxAge, isCurrent = true, confirm = () => isCurrent, told,
}: HostState = {}) => {
	const streamOrigins = createStreamOrigins();
	const versions = createVersionHistory(60_000);
	for (const [index, softwareVersion] of listed.entries()) {
		versions.list(buildUpstream({id: `u${index}`, softwareVersion}), 0);
	}

	if (removed !== undefined) {
		const upstream = buildUpstream({id: 'removed', softwareVersion: removed});
		versions.list(upstream, 0);
		versions.remove(getUpstreamKey(upstream), 1);
	}

	const freshness: ForwarderContext['freshness'] = {
		isCurrent: () => isCurrent,
		ensureCurrent: async () => isCurrent,
		refreshIfStale: async () => undefined,
		confirm: async () => confirm(),
		isConfigurationBehind: () => false,
		isConfigurationUncertain: () => false,
		waitForConfiguration: async () => undefined,
	};
	const context: Partial<ForwarderContext> = {
		freshness, clock: createManualClock(now), logger: createLogger('info', () => undefined), metrics: createMetrics(), streamOrigins, versions, askForStreamOrigin: async () => told,
	};
	const resolve = createResumptionResolver(context as ForwarderContext);
	return {
		resolve, streamOrigins, versions, context: context as ForwarderContext,
	};
};

const unknown = {kind: 'refused', error: {kind: 'stream-unknown', retryAfter: 300}};

test('a request without events, or of a route whose streams can\'t go on, takes up no stream', async () => {
	const {resolve} = createHost();
	expect(await resolve(getHead({lastEventId: undefined}), route)).toEqual({kind: 'none'});
	expect(await resolve(getHead({lastEventId: 0}), route)).toEqual({kind: 'none'});
	expect(await resolve(getHead(), buildRoute({kind: 'streaming', isResumable: false}))).toEqual({kind: 'none'});
});

test('a stream goes on at the service and the version that began it', async () => {
	const {resolve, streamOrigins} = createHost({listed: ['v1', 'v2']});
	streamOrigins.add({request: 'a1', service: 's', softwareVersion: 'v2'}, 0);
	expect(await resolve(getHead(), route)).toEqual({kind: 'resumed', origin: {service: 's', softwareVersion: 'v2'}});
});

test('a stream can\'t go on at another service, even if that names its versions alike', async () => {
	const {resolve, streamOrigins} = createHost();
	streamOrigins.add({request: 'a1', service: 'other', softwareVersion: 'v1'}, 0);
	expect(await resolve(getHead(), route)).toEqual({kind: 'refused', error: {kind: 'stream-version-gone'}});
});

test('what a host doesn\'t know it asks others, and remembers', async () => {
	const origin = {service: 's', softwareVersion: 'v2'};
	const {resolve, streamOrigins} = createHost({listed: ['v1', 'v2'], told: origin});
	expect(await resolve(getHead(), route)).toEqual({kind: 'resumed', origin});
	expect(streamOrigins.get('a1', maxAge)).toEqual(origin);
});

test('an unknown stream began at the only version that has served for long', async () => {
	const {resolve} = createHost();
	expect(await resolve(getHead(), route)).toEqual({kind: 'resumed', origin: {service: 's', softwareVersion: 'v1'}});
	expect(await resolve(getHead({resumedRequestId: undefined}), route)).toMatchObject({kind: 'resumed'});
});

// Guards against: a host that has just started, or is cut off from the fleet, takes the only version that it knows for the only one there was.
test('an unknown stream is refused if another version may have begun it', async () => {
	expect(await createHost({listed: ['v1', 'v2']}).resolve(getHead(), route)).toEqual(unknown);
	expect(await createHost({now: maxAge - 1}).resolve(getHead(), route)).toEqual(unknown);
	expect(await createHost({isCurrent: false}).resolve(getHead(), route)).toEqual(unknown);
	expect(await createHost({removed: 'v2', now: maxAge}).resolve(getHead(), route)).toEqual(unknown);
	const severalServices = buildRoute({...route, destinations: [{service: 's', weight: 1}, {service: 't', weight: 1}]});
	expect(await createHost().resolve(getHead(), severalServices)).toEqual(unknown);
});

// Guards against: after all hosts were lost at once, a stream of the version before goes on at the new one, as the timeout of its route was shortened meanwhile.
test('an unknown stream is refused by a host that has followed the fleet for longer than the route\'s timeout, but not for as long as streams live', async () => {
	for (const now of [2 * route.timeout, 30_000, maxAge - 1]) {
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		expect(await createHost({now}).resolve(getHead(), route)).toEqual(unknown);
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		expect(await findStreamOrigin({request: 'a1', services: ['s'], maxAge: 2 * route.timeout}, createHost({now}).context)).toBeUndefined();
	}
});

// Guards against: engines without a version count as of one version.
test('an unknown stream is refused if the upstreams are listed without a version', async () => {
	expect(await createHost({listed: ['']}).resolve(getHead(), route)).toEqual(unknown);
});

test('an unknown stream is refused if what has served isn\'t known without a break', async () => {
	const {resolve, versions} = createHost();
	versions.restart(maxAge - 1);
	expect(await resolve(getHead(), route)).toEqual(unknown);
});

// Guards against: a host that has just lost its links to the store, or all of whose neighbours have, goes by the only version that it knows while a stream of a new one broke off elsewhere.
test('an unknown stream is refused unless the store has answered since its caller came, whatever other hosts confirm', async () => {
	expect(await createHost({confirm: () => false}).resolve(getHead(), route)).toEqual(unknown);
});

// Guards against: as before, with an upstream of a new version that the host learns of only as it asks.
test('an unknown stream is refused if a version that has just joined may have begun it', async () => {
	const host = createHost({
		confirm() {
			host.versions.list(buildUpstream({id: 'joined', softwareVersion: 'v2'}), maxAge);
			return true;
		},
	});
	expect(await host.resolve(getHead(), route)).toEqual(unknown);
});

test('a stream that a report names while the store is asked goes on at its version', async () => {
	const host = createHost({
		confirm() {
			host.streamOrigins.add({request: 'a1', service: 's', softwareVersion: 'v2'}, maxAge);
			return true;
		},
	});
	expect(await host.resolve(getHead(), route)).toEqual({kind: 'resumed', origin: {service: 's', softwareVersion: 'v2'}});
});
