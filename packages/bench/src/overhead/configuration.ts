import {getKeyDigest} from '@gentianlift/config';
import type {Address, Configuration} from '@gentianlift/types';

/** Key of the only customer. */
export const customerKey = 'bench-key-of-the-only-customer';
/** The only model. */
export const modelName = 'chat';

const unlimited = 1_000_000;
const wholeDay = [{from: '00:00', to: '24:00', targets: {firstToken: 600_000}}];

/** Gets a configuration without limits that matter: one customer, one class, some engines. */
export const getBenchConfiguration = (engines: Address[], slots: number): Configuration => ({
	inventory: {
		engines: engines.map((address, index) => ({
			id: `engine-${index}`, address, zone: 'zone-a', models: [modelName], adapters: [], role: 'mixed', accelerators: 1, slots, fencing: 'checked',
		})),
		models: [{name: modelName, bytes: 1, contextTokens: 100_000}],
		adapters: [],
		services: [],
		customers: [{
			id: 'bench', keyDigests: [getKeyDigest(customerKey)], weight: 1, timeZone: 'Etc/GMT', classes: ['bench'],
			limits: {requestsPerSecond: unlimited, tokensPerSecond: 1000 * unlimited, concurrency: unlimited},
		}],
	},
	rules: {
		tiers: [{name: 'only', outranks: [], floor: 0}],
		classes: [{
			name: 'bench', tier: 'only', idempotent: true, match: {models: [modelName]}, hours: wholeDay, expectedTokens: 20, retryShare: 0,
		}],
	},
});
