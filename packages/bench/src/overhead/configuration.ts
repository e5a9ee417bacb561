import {getKeyDigest} from '@gentianlift/config';
import type {Address, Configuration} from '@gentianlift/types';

/** Key of the only customer. */
export const customerKey = 'bench-key-of-the-only-customer';
/** Name of the only model. */
export const modelName = 'chat';

const effectivelyUnlimited = 1_000_000;
const wholeDay = [{from: '00:00', to: '24:00', targets: {firstToken: 600_000}}];

/** Creates a configuration with one customer, one class and the given engines, whose limits are too high to take effect. */
export const createBenchConfiguration = (engines: Address[], slots: number): Configuration => ({
	inventory: {
		engines: engines.map((address, index) => ({
			id: `engine-${index}`, address, zone: 'zone-a', models: [modelName], adapters: [], role: 'mixed', accelerators: 1, slots, fencing: 'checked',
		})),
		models: [{name: modelName, bytes: 1, contextTokens: 100_000}],
		adapters: [],
		services: [],
		customers: [{
			id: 'bench', keyDigests: [getKeyDigest(customerKey)], weight: 1, timeZone: 'Etc/GMT', classes: ['bench'],
			limits: {requestsPerSecond: effectivelyUnlimited, tokensPerSecond: 1000 * effectivelyUnlimited, concurrency: effectivelyUnlimited},
		}],
	},
	rules: {
		tiers: [{name: 'only', outranks: [], floor: 0}],
		classes: [{
			name: 'bench', tier: 'only', idempotent: true, match: {models: [modelName]}, hours: wholeDay, expectedTokens: 20, retryShare: 0,
		}],
	},
});
