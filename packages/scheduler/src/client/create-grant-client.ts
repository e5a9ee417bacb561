import type {GrantClient, GrantClientOptions} from './types.js';
import {BaselineClient} from './baseline-client.js';
import {PolicyClient} from './policy-client.js';

/** Creates this host's grant client. The setting `order` chooses between requests to the owners of groups and a baseline for comparison. */
export const createGrantClient = (options: GrantClientOptions): GrantClient => {
	const order = options.order ?? 'policy';
	return order === 'policy' ? new PolicyClient(options) : new BaselineClient(options, order);
};
