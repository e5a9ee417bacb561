import type {GrantClient, GrantClientOptions} from './types.js';
import {BaselineClient} from './baseline-client.js';
import {OrderedClient} from './ordered-client.js';

/** Creates the client of grants of this host; the settings' `order` says whether it asks owners or stands as a baseline. */
export const createGrantClient = (options: GrantClientOptions): GrantClient => {
	const order = options.order ?? 'policy';
	return order === 'policy' ? new OrderedClient(options) : new BaselineClient(options, order);
};
