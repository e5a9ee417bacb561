import {createAccounts} from '@gentianlift/claims';
import {createRandom, createSystemClock} from '@gentianlift/clock';
import {parseVersionText} from '@gentianlift/config';
import {createMetrics} from '@gentianlift/metrics';
import {compactCodec} from '@gentianlift/peers';
import {getGroups} from '@gentianlift/policy';
import {
	createGrantClient, createGroupOwner, createQuotaClient, createQuotaOwner, getLimits, getRequestLimitName,
} from '@gentianlift/scheduler';
import type {Configuration, ConfigurationVersion} from '@gentianlift/types';
import {measure, type Cost} from './measure.js';
import {createConfiguration, createRequest} from './synthetic.js';

/** Cost, messages and bytes of one role at one size. */
export type CostSample = {size: number; cost: Cost; messages: number; bytes: number};

const clock = createSystemClock();

const createVersion = (configuration: Configuration): ConfigurationVersion => ({
	version: 1, token: 'bench', author: 'bench', acceptedAt: 0, note: '', configuration,
});

const createMessageCounter = () => {
	let messages = 0;
	let bytes = 0;
	return {
		/** Returns a copy of a message, serialized as between hosts, and counts it and its bytes of JSON. */
		pass<Message>(message: Message): Message {
			const text = JSON.stringify(compactCodec.serialize(message));
			messages++;
			bytes += text.length;
			return compactCodec.deserialize(JSON.parse(text)) as Message;
		},
		read: () => ({messages, bytes}),
	};
};

/** Creates a grant client at one host and a group owner at another, connected by counted messages. */
const createPair = (configuration: Configuration) => {
	const counter = createMessageCounter();
	const groups = getGroups(configuration);
	const shared = {
		clock, random: createRandom(1), metrics: createMetrics(), getOwnerOf: () => 'owner', getHosts: () => [{host: 'owner', zone: 'zone-0'}, {host: 'asker', zone: 'zone-0'}],
	};
	const owner = createGroupOwner({
		...shared, self: 'owner', push(_host, answer) {
			client.applyDecisions(counter.pass(answer));
		},
	});
	const client = createGrantClient({
		...shared,
		self: 'asker',
		incarnation: 1,
		getLocalOwner: () => owner,
		getGroups: () => groups,
		peers: {exchangeGrants: async (_to, message) => ({kind: 'answered', answer: counter.pass(owner.handle('asker', counter.pass(message)))})},
	});
	owner.applyConfiguration(createVersion(configuration));
	return {owner, client, counter};
};

/** Measures grants that are requested and ended one after another, with both sides of the exchange in one process. */
export const measureGrants = async (requests: number): Promise<CostSample> => {
	const {owner, client, counter} = createPair(createConfiguration({engines: 8, models: 1, customers: 100}));
	const cost = await measure(async () => {
		for (let index = 0; index < requests; index++) {
			const request = createRequest(index, clock.now());
			// eslint-disable-next-line no-await-in-loop -- Requests run one after another.
			const grant = await client.requestGrant(request);
			if (grant.kind === 'granted') {
				client.reportEnd({
					request: request.id, attempt: 1, kind: 'finished', tokens: 380, firstTokenAfter: 100, duration: 20_000,
				});
			}
		}
	});
	owner.stop();
	client.stop();
	return {size: requests, cost, ...counter.read()};
};

/** Measures the state that queued requests hold at both sides while all slots are taken. */
export const measureQueuedRequests = async (queuedCount: number): Promise<CostSample> => {
	const {owner, client, counter} = createPair(createConfiguration({engines: 1, models: 1, customers: 100}));
	const cost = await measure(async () => {
		for (let index = 0; index < queuedCount; index++) {
			void client.requestGrant(createRequest(index, clock.now() + 3_600_000));
		}

		await clock.sleep(500);
		return {owner, client};
	});
	owner.stop();
	client.stop();
	return {size: queuedCount, cost, ...counter.read()};
};

/** Measures customers' limits in use at one host, with one quota exchange per customer. */
export const measureQuota = async (customers: number): Promise<CostSample> => {
	const counter = createMessageCounter();
	const limits = getLimits(createConfiguration({engines: 1, models: 1, customers}));
	const shared = {
		clock, metrics: createMetrics(), getHosts: () => [{host: 'owner'}, {host: 'asker'}], getOwnerOf: () => 'owner', getLimits: () => limits,
	};
	const owner = createQuotaOwner({...shared, self: 'owner'});
	const client = createQuotaClient({
		...shared,
		self: 'asker',
		getLocalOwner: () => owner,
		peers: {exchangeQuota: async (_to, message) => ({kind: 'answered', answer: counter.pass(owner.handle('asker', counter.pass(message)))})},
	});
	const cost = await measure(async () => {
		await Promise.all(Array.from({length: customers}, async (_, index) => client.acquire([{limit: getRequestLimitName(`customer-${index}`), amount: 1}])));
		return {owner, client};
	});
	client.stop();
	return {size: customers, cost, ...counter.read()};
};

/** Measures the processing of a received configuration: parsing and checking its text, and dividing it into groups. */
export const measureConfiguration = async (engines: number): Promise<CostSample> => {
	const configuration = createConfiguration({engines, models: Math.max(1, Math.round(engines / 74)), customers: Math.round(engines / 2)});
	const text = JSON.stringify(createVersion(configuration));
	const cost = await measure(() => {
		const parsed = parseVersionText(text);
		if (parsed.kind === 'invalid') {
			throw new TypeError(JSON.stringify(parsed.faults[0]));
		}

		return {parsed, groups: getGroups(parsed.value.configuration)};
	});
	return {
		size: engines, cost, messages: 1, bytes: text.length,
	};
};

/** Measures the accounts of finished requests that a host keeps. */
export const measureAccounts = async (count: number): Promise<CostSample> => {
	const cost = await measure(() => {
		const accounts = createAccounts({clock, capacity: count});
		for (let index = 0; index < count; index++) {
			const request = createRequest(index, clock.now());
			accounts.open(request);
			accounts.apply({kind: 'attempt-started', request: request.id, upstream: 'engine-0'});
			accounts.apply({kind: 'finished', request: request.id, status: 200});
		}

		return accounts;
	});
	return {
		size: count, cost, messages: 0, bytes: 0,
	};
};
