import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createRandom, createSystemClock} from '@gentianlift/clock';
import type {StreamOrigin} from '@gentianlift/routing';
import {expect, onTestFinished, test} from 'vitest';
import type {FleetView} from './fleet-view.js';
import {createPeerServer} from './peer-server.js';
import {createStreamOriginClient, type OriginQuery} from './stream-origin-calls.js';

const origin = {service: 's', softwareVersion: 'v1'};
const query = {request: 'a1', services: ['s', 't'], maxAge: 10_000};

/** Starts the server of a host that answers with the origin, if it has one; returns its address and what it was asked. */
const startPeer = async (known?: StreamOrigin): Promise<{address: string; asked: OriginQuery[]; server: Server}> => {
	const asked: OriginQuery[] = [];
	const server = createPeerServer({
		clock: createSystemClock(),
		view: {getRevision: () => 0} as unknown as FleetView,
		async findStreamOrigin(received) {
			asked.push(received);
			return known;
		},
		getReach: async () => ({isReached: true, openRequests: 0}),
		answerForwardedCall: () => undefined,
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	onTestFinished(() => {
		server.close();
		server.closeAllConnections();
	});
	return {address: `127.0.0.1:${(server.address() as AddressInfo).port}`, asked, server};
};

const createClient = (addresses: string[]) => createStreamOriginClient({getAddresses: () => addresses, clock: createSystemClock(), random: createRandom(1)});

test('the origin of a stream is found at another host that knows it, though others don\'t', async () => {
	const peers = await Promise.all([startPeer(), startPeer(origin), startPeer()]);
	expect(await createClient(peers.map(({address}) => address)).find(query)).toEqual(origin);
	expect(peers[1]?.asked).toEqual([query]);
});

test('no origin is found if no host knows it or none answers', async () => {
	const peer = await startPeer();
	expect(await createClient([peer.address, '127.0.0.1:1']).find(query)).toBeUndefined();
	expect(await createClient([]).find(query)).toBeUndefined();
	expect(await createClient([peer.address]).find({request: undefined, services: ['s'], maxAge: 10_000})).toBeUndefined();
	expect(peer.asked.at(-1)).toEqual({request: undefined, services: ['s'], maxAge: 10_000});
});

// Guards against: the clients of hosts that were replaced are kept for as long as the process runs.
test('connections to a host that is gone are closed', async () => {
	const [gone, remaining] = await Promise.all([startPeer(), startPeer()]);
	// The server itself closes no idle connection.
	gone.server.keepAliveTimeout = 0;
	const addresses = [gone.address, remaining.address];
	const client = createStreamOriginClient({getAddresses: () => addresses, clock: createSystemClock(), random: createRandom(1)});
	const countConnections = async (): Promise<number> => new Promise(resolve => {
		gone.server.getConnections((_error, count) => {
			resolve(count);
		});
	});
	await client.find(query);
	expect(await countConnections()).toBe(1);
	addresses.shift();
	await client.find(query);
	await expect.poll(countConnections).toBe(0);
});
