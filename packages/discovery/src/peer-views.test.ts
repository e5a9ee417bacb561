import {once} from 'node:events';
import type {Server} from 'node:http';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {createRandom, createSystemClock} from '@gentianlift/clock';
import {createLogger} from '@gentianlift/logger';
import type {Address, Milliseconds, Snapshot} from '@gentianlift/types';
import {expect, onTestFinished, test} from 'vitest';
import {createConfigurationClient} from './configuration-calls.js';
import type {FleetView} from './fleet-view.js';
import {createPeerServer} from './peer-server.js';
import {createPeerViewClient, type PeerViewClient} from './peer-views.js';

/** What a slow link lets through at a time, and how often. */
const slowChunkBytes = 4096;
const slowInterval: Milliseconds = 100;

const clock = createSystemClock();
const random = createRandom(1);

/** Builds a view with a configuration of many routes, whose names don't repeat. */
const buildLargeView = (revision: number): Snapshot => {
	const drawName = (): string => Math.floor(random.next() * 1e9).toString(36);
	const routes = Array.from({length: 1280}, () => ({
		name: `r-${drawName()}`, host: `${drawName()}.example`, pathPrefix: `/${drawName()}/`, kind: 'streaming', timeout: 10_000, latencyTarget: 1500,
		rank: 2, destinations: [{service: 'engines', weight: 90}, {service: 'others', weight: 10}], maxUpstreams: 1, isSticky: true, isResumable: false,
	}));
	return {entries: [{key: 'configuration', value: JSON.stringify({version: 12, routes}), revision}], revision};
};

const listen = async (server: Server | ReturnType<typeof createServer>): Promise<Address> => {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	onTestFinished(() => {
		server.close();
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const startPeer = async (snapshot: Snapshot): Promise<Address> => listen(createPeerServer({
	clock,
	view: {
		getRevision: () => snapshot.revision, getSnapshot: () => snapshot, getRoutes: () => ({configuration: {version: 12}}), getConfigurationEntry: () => snapshot.entries[0],
	} as unknown as FleetView,
	findStreamOrigin: async () => undefined,
	getReach: async () => ({isReached: true, openRequests: 0}),
	answerForwardedCall: () => undefined,
}));

const copySlowly = async (from: Socket, to: Socket): Promise<void> => {
	for await (const chunk of from) {
		const bytes = chunk as Uint8Array;
		for (let start = 0; start < bytes.length; start += slowChunkBytes) {
			to.write(bytes.subarray(start, start + slowChunkBytes));
			// eslint-disable-next-line no-await-in-loop -- The pace of the link.
			await sleep(slowInterval);
		}
	}
};

/** Starts a link to an address whose answers arrive slowly. */
const startSlowLink = async (address: Address): Promise<Address> => {
	const port = Number(address.split(':')[1]);
	return listen(createServer(socket => {
		const upstream = connect(port, '127.0.0.1');
		const close = (): void => {
			socket.destroy();
			upstream.destroy();
		};

		socket.on('error', close);
		upstream.on('error', close);
		onTestFinished(close);
		socket.pipe(upstream);
		copySlowly(upstream, socket).catch(close);
	}));
};

/** Creates a client of hosts, of which some have reported a newer revision. */
const createClient = (addresses: Address[], ahead: Address[] = []): {client: PeerViewClient; logLines: string[]} => {
	const logLines: string[] = [];
	const client = createPeerViewClient({
		getAddresses: () => addresses, getAddressesAhead: () => ahead, clock, random, logger: createLogger('info', line => {
			logLines.push(line);
		}),
	});
	return {client, logLines};
};

// Guards against: hosts behind slow links keep an old configuration for good once the state of the fleet is large.
test('a large view is read over a slow link', async () => {
	const snapshot = buildLargeView(12);
	expect(JSON.stringify(snapshot).length).toBeGreaterThan(300_000);
	const {client, logLines} = createClient([await startSlowLink(await startPeer(snapshot))]);
	expect(await client.fetchNewer(9)).toEqual(snapshot);
	expect(logLines).toEqual([]);
});

test('a host that has reported a newer revision is asked, and others only if there is none', async () => {
	const behind = await startPeer(buildLargeView(9));
	const ahead = await startPeer(buildLargeView(12));
	const {client} = createClient([behind, ahead], [ahead]);
	for (let round = 0; round < 10; round++) {
		// eslint-disable-next-line no-await-in-loop -- One read at a time.
		expect(await client.fetchNewer(9)).toMatchObject({revision: 12});
	}

	expect(await createClient([behind]).client.fetchNewer(9)).toBeUndefined();
});

test('a view that could not be read is logged', async () => {
	const {client, logLines} = createClient([await listen(createServer(socket => {
		socket.destroy();
	}))]);
	expect(await client.fetchNewer(9)).toBeUndefined();
	expect(logLines.join('\n')).toContain('event=view-not-read');
});

test('a large configuration is read over a slow link, by a host that knows an older one', async () => {
	const snapshot = buildLargeView(12);
	const address = await startSlowLink(await startPeer(snapshot));
	const client = createConfigurationClient({getAddresses: () => [address], clock, random});
	expect(await client.fetchNewer({version: 11, addresses: [address], count: 3})).toEqual({asked: 1, answered: 1, entries: snapshot.entries});
	expect(await client.fetchNewer({version: 12, addresses: [address], count: 3})).toEqual({asked: 1, answered: 1, entries: []});
});
