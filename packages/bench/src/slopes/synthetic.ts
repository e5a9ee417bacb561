import type {
	ClassifiedRequest, Configuration, Customer, Engine,
} from '@gentianlift/types';

const keysPerCustomer = 1;
const slotsPerEngine = 32;

const range = (count: number): number[] => Array.from({length: count}, (_, index) => index);

const createEngine = (index: number, models: number): Engine => ({
	id: `engine-${index}`,
	address: `10.${Math.floor(index / 65_536)}.${Math.floor(index / 256) % 256}.${index % 256}:8000`,
	zone: `zone-${index % 4}`,
	models: [`model-${index % models}`],
	adapters: [],
	role: 'mixed',
	accelerators: 8,
	slots: slotsPerEngine,
	fencing: 'checked',
});

const createCustomer = (index: number): Customer => ({
	id: `customer-${index}`,
	keyDigests: range(keysPerCustomer).map(key => `${index}-${key}`.padStart(64, '0').replaceAll('-', 'a')),
	weight: 1,
	timeZone: 'Europe/Athens',
	limits: {requestsPerSecond: 1_000_000, tokensPerSecond: 1_000_000_000, concurrency: 1_000_000},
	classes: ['question'],
});

/** Numbers of the items of a synthetic deployment. */
export type DeploymentSize = {engines: number; models: number; customers: number};

/** Creates a configuration of a size, with four tiers and one class. */
export const createConfiguration = ({engines, models, customers}: DeploymentSize): Configuration => ({
	inventory: {
		engines: range(engines).map(index => createEngine(index, models)),
		models: range(models).map(index => ({name: `model-${index}`, bytes: 16_000_000_000, contextTokens: 32_768})),
		adapters: [],
		services: [],
		customers: range(customers).map(index => createCustomer(index)),
	},
	rules: {
		tiers: range(4).map(index => ({name: `tier-${index}`, outranks: index < 3 ? [`tier-${index + 1}`] : [], floor: 0.05})),
		classes: [{
			name: 'question', tier: 'tier-0', idempotent: true, match: {}, hours: [{from: '00:00', to: '24:00', targets: {firstToken: 1800, betweenTokens: 73}}], expectedTokens: 380, retryShare: 0.1,
		}],
	},
});

/** Creates a classified request for the first model. */
export const createRequest = (index: number, now: number): ClassifiedRequest => ({
	id: `host-1.1796337534350.${index}`,
	customer: `customer-${index % 100}`,
	weight: 1,
	className: 'question',
	tier: 'tier-0',
	rank: 0,
	idempotent: true,
	arrivedAt: now,
	targets: {firstToken: 1800, betweenTokens: 73},
	deadline: now + 60_000,
	expectedTokens: 380,
	work: {
		kind: 'generation', model: 'model-0', promptTokens: 800, maxTokens: 1000, stream: true, prefix: ['0123456789ab', 'ba9876543210', '0a1b2c3d4e5f'],
	},
	digest: 'd'.repeat(64),
	fingerprint: String(index).padStart(24, 'f'),
});
