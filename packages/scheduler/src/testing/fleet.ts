import {
	createManualClock, createRandom, type ManualClock, type Random,
} from '@gentianlift/clock';
import {createMetrics, type Metrics} from '@gentianlift/metrics';
import {getGroups} from '@gentianlift/policy';
import type {
	ClassifiedRequest, Configuration, GrantAnswer, GrantRequest, HostId, PeerOutcome,
} from '@gentianlift/types';
import {
	createGrantClient, createGroupOwner, type Grant, type GrantClient, type GroupOwner, type Mechanism,
} from '../index.js';

/** How the links between the hosts of a test fleet behave. */
export type Links = {
	/** Chance that a message or its answer is lost. */
	loss: number;
	/** Chance that a message arrives twice. */
	repeat: number;
	/** Longest delay of a message; messages overtake each other. */
	delay: number;
	/** Hosts that nobody reaches and that reach nobody. */
	cut: Set<HostId>;
};

/** One host of a test fleet. */
export type TestHost = {id: HostId; client: GrantClient; owner: GroupOwner; metrics: Metrics};

/** Hosts in one process, joined by links that lose, repeat and delay messages. */
export type TestFleet = {
	clock: ManualClock;
	random: Random;
	hosts: TestHost[];
	links: Links;
	/** Host that owns a group in each host's view. */
	owners: Map<HostId, HostId>;
	counts: {messages: number; bytes: number};
	getHost: (id: HostId) => TestHost;
};

/** Creates a fleet whose hosts all take the first as owner. */
export const createTestFleet = (configuration: Configuration, ids: readonly HostId[], seed = 1, without: readonly Mechanism[] = []): TestFleet => {
	const clock = createManualClock(1_000_000);
	const random = createRandom(seed);
	const links: Links = {
		loss: 0, repeat: 0, delay: 1, cut: new Set(),
	};
	const fleet: TestFleet = {
		clock,
		random,
		hosts: [],
		links,
		owners: new Map(ids.map(id => [id, ids[0] ?? id])),
		counts: {messages: 0, bytes: 0},
		getHost: id => fleet.hosts.find(host => host.id === id)!,
	};
	fleet.hosts = ids.map(id => createTestHost(fleet, configuration, id, without));
	return fleet;
};

const createTestHost = (fleet: TestFleet, configuration: Configuration, id: HostId, without: readonly Mechanism[]): TestHost => {
	const metrics = createMetrics();
	const groups = getGroups(configuration);
	const shared = {
		clock: fleet.clock, random: fleet.random, metrics, self: id, without, getOwnerOf: () => fleet.owners.get(id),
	};
	const owner = createGroupOwner({
		...shared,
		getHosts: () => fleet.hosts.map(host => ({host: host.id, zone: 'a'})),
		push(to, answer) {
			if (to === id) {
				client.receive(answer);
			} else {
				void carry(fleet, [id, to], answer, () => {
					fleet.getHost(to).client.receive(structuredClone(answer));
				});
			}
		},
	});
	const client: GrantClient = createGrantClient({
		...shared,
		incarnation: 1,
		getLocalOwner: () => owner,
		getGroups: () => groups,
		peers: {exchangeGrants: async (to, message) => exchange(fleet, id, to, message)},
	});
	owner.applyConfiguration({
		version: 1, token: '', author: '', acceptedAt: 0, note: '', configuration,
	});
	return {
		id, client, owner, metrics,
	};
};

const callTimeout = 500;

const exchange = async (fleet: TestFleet, from: HostId, to: HostId, message: GrantRequest): Promise<PeerOutcome<GrantAnswer>> => {
	let answer: GrantAnswer | undefined;
	const isHeard = await carry(fleet, [from, to], message, () => {
		answer = fleet.getHost(to).owner.handle(from, structuredClone(message));
	});
	if (isHeard && answer !== undefined && await carry(fleet, [to, from], answer, () => undefined)) {
		return {kind: 'answered', answer: structuredClone(answer)};
	}

	await fleet.clock.sleep(callTimeout);
	return {kind: 'unknown', reason: 'timeout'};
};

const carry = async (fleet: TestFleet, [from, to]: readonly [HostId, HostId], message: GrantRequest | GrantAnswer, deliver: () => void): Promise<boolean> => {
	const {links, random, clock, counts} = fleet;
	counts.messages++;
	counts.bytes += JSON.stringify(message).length;
	await clock.sleep(random.next() * links.delay);
	if (links.cut.has(from) || links.cut.has(to) || random.next() < links.loss) {
		return false;
	}

	deliver();
	if (random.next() < links.repeat) {
		clock.after(random.next() * links.delay * 10, deliver);
	}

	return true;
};

/** Creates a configuration of two tiers, one model and engines with the given slots. */
export const createTestConfiguration = (slots: readonly number[], floor = 0): Configuration => ({
	inventory: {
		engines: slots.map((count, index) => ({
			id: `e${index}`, address: `127.0.0.1:${index}`, zone: 'a', models: ['m'], adapters: [], role: 'mixed', accelerators: 1, slots: count, fencing: 'checked',
		})),
		models: [{name: 'm', bytes: 1, contextTokens: 1000}],
		adapters: [],
		services: [],
		customers: [],
	},
	rules: {
		tiers: [{name: 'high', outranks: ['low'], floor: 0}, {name: 'low', outranks: [], floor}],
		classes: [],
	},
});

/** Creates a request for the model of the test configuration. */
export const createTestRequest = (fleet: TestFleet, id: string, change: Partial<ClassifiedRequest> = {}): ClassifiedRequest => {
	const now = fleet.clock.now();
	return {
		id,
		customer: 'c',
		weight: 1,
		className: `class-${change.rank ?? 0}`,
		tier: 'high',
		rank: 0,
		idempotent: true,
		arrivedAt: now,
		targets: {},
		deadline: now + 10_000,
		expectedTokens: 50,
		work: {
			kind: 'generation', model: 'm', promptTokens: 10, maxTokens: 100, stream: true, prefix: [],
		},
		digest: id,
		fingerprint: id,
		...change,
	};
};

/** A grant that can be looked at before it is settled. */
export type Watched = {id: string; grant?: Grant};

/** Asks and keeps the grant. */
export const watch = (host: TestHost, request: ClassifiedRequest, attempt = 1): Watched => {
	const watched: Watched = {id: request.id};
	const keep = async (): Promise<void> => {
		watched.grant = await host.client.ask(request, {attempt});
	};

	void keep();
	return watched;
};
