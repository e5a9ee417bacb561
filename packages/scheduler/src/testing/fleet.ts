import {
	createManualClock, createRandom, type ManualClock, type Random,
} from '@gentianlift/clock';
import {createMetrics, type Metrics} from '@gentianlift/metrics';
import {getGroups} from '@gentianlift/policy';
import type {
	ClassifiedRequest, Configuration, GrantResponse, GrantRequest, HostId, PeerOutcome,
} from '@gentianlift/types';
import {
	createGrantClient, createGroupOwner, type GrantOutcome, type GrantClient, type GroupOwner, type Mechanism,
} from '../index.js';

/** Conditions of the simulated network between the hosts of a test fleet. */
export type NetworkConditions = {
	/** Probability that a message is lost; an answer is a message of its own. */
	lossProbability: number;
	/** Probability that a message is delivered twice. */
	duplicationProbability: number;
	/** Maximum delay of a message in milliseconds; delays are random, so messages may overtake each other. */
	maxDelay: number;
	/** Hosts that can neither send nor receive messages. */
	partitionedHosts: Set<HostId>;
};

/** One host of a test fleet. */
export type TestHost = {id: HostId; client: GrantClient; owner: GroupOwner; metrics: Metrics};

/** Hosts in one process, connected by a simulated network that loses, duplicates and delays messages. */
export type TestFleet = {
	clock: ManualClock;
	random: Random;
	hosts: TestHost[];
	network: NetworkConditions;
	/** Host that owns all groups, in the view of each host. */
	owners: Map<HostId, HostId>;
	counts: {messages: number; bytes: number};
	getHost: (id: HostId) => TestHost;
};

/** Creates a fleet in which all hosts regard the first one as the owner of all groups. */
export const createTestFleet = (configuration: Configuration, ids: readonly HostId[], seed = 1, disabledMechanisms: readonly Mechanism[] = []): TestFleet => {
	const clock = createManualClock(1_000_000);
	const random = createRandom(seed);
	const network: NetworkConditions = {
		lossProbability: 0, duplicationProbability: 0, maxDelay: 1, partitionedHosts: new Set(),
	};
	const fleet: TestFleet = {
		clock,
		random,
		hosts: [],
		network,
		owners: new Map(ids.map(id => [id, ids[0] ?? id])),
		counts: {messages: 0, bytes: 0},
		getHost: id => fleet.hosts.find(host => host.id === id)!,
	};
	fleet.hosts = ids.map(id => createTestHost(fleet, configuration, id, disabledMechanisms));
	return fleet;
};

const createTestHost = (fleet: TestFleet, configuration: Configuration, id: HostId, disabledMechanisms: readonly Mechanism[]): TestHost => {
	const metrics = createMetrics();
	const groups = getGroups(configuration);
	const shared = {
		clock: fleet.clock, random: fleet.random, metrics, self: id, disabledMechanisms, getOwnerOf: () => fleet.owners.get(id),
	};
	const owner = createGroupOwner({
		...shared,
		getHosts: () => fleet.hosts.map(host => ({host: host.id, zone: 'a'})),
		push(to, answer) {
			if (to === id) {
				client.applyDecisions(answer);
			} else {
				void transmit(fleet, [id, to], answer, () => {
					fleet.getHost(to).client.applyDecisions(structuredClone(answer));
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

/** Time in milliseconds after which an exchange without an answer fails. */
const callTimeout = 500;

const exchange = async (fleet: TestFleet, from: HostId, to: HostId, message: GrantRequest): Promise<PeerOutcome<GrantResponse>> => {
	let answer: GrantResponse | undefined;
	const isDelivered = await transmit(fleet, [from, to], message, () => {
		answer = fleet.getHost(to).owner.handle(from, structuredClone(message));
	});
	if (isDelivered && answer !== undefined && await transmit(fleet, [to, from], answer, () => undefined)) {
		return {kind: 'answered', answer: structuredClone(answer)};
	}

	await fleet.clock.sleep(callTimeout);
	return {kind: 'unknown', reason: 'timeout'};
};

const transmit = async (fleet: TestFleet, [from, to]: readonly [HostId, HostId], message: GrantRequest | GrantResponse, deliver: () => void): Promise<boolean> => {
	const {network, random, clock, counts} = fleet;
	counts.messages++;
	counts.bytes += JSON.stringify(message).length;
	await clock.sleep(random.next() * network.maxDelay);
	if (network.partitionedHosts.has(from) || network.partitionedHosts.has(to) || random.next() < network.lossProbability) {
		return false;
	}

	deliver();
	if (random.next() < network.duplicationProbability) {
		clock.after(random.next() * network.maxDelay * 10, deliver);
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
export const createTestRequest = (fleet: TestFleet, id: string, overrides: Partial<ClassifiedRequest> = {}): ClassifiedRequest => {
	const now = fleet.clock.now();
	return {
		id,
		customer: 'c',
		weight: 1,
		className: `class-${overrides.rank ?? 0}`,
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
		...overrides,
	};
};

/** The grant of a request, absent while the request waits. */
export type GrantRecorder = {id: string; grant?: GrantOutcome};

/** Requests a slot and records the grant once there is one. */
export const recordGrant = (host: TestHost, request: ClassifiedRequest, attempt = 1): GrantRecorder => {
	const recorder: GrantRecorder = {id: request.id};
	const record = async (): Promise<void> => {
		recorder.grant = await host.client.requestGrant(request, {attempt});
	};

	void record();
	return recorder;
};
