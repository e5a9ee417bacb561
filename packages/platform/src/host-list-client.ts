import type {HostList, ListedHost} from '@gentianlift/types';
import {z} from 'zod';
import {createJsonClient, type PlatformClientOptions} from './json-client.js';

const hostSchema: z.ZodType<ListedHost> = z.object({
	id: z.string(),
	kind: z.enum(['entry', 'upstream']),
	address: z.string(),
	zone: z.string(),
	state: z.enum(['live', 'leaving']),
});
const listSchema = z.object({hosts: z.array(hostSchema)});

/** Host list that is called over HTTP. */
export type HostListClient = HostList & {close: () => void};

/** Creates a client of the host list. */
export const createHostListClient = (options: PlatformClientOptions): HostListClient => {
	const {call, close} = createJsonClient(options);
	return {
		close,
		async readHosts() {
			const outcome = await call({method: 'GET', path: '/v1/hosts'});
			return outcome.kind === 'answered' ? listSchema.safeParse(outcome.body).data?.hosts : undefined;
		},
	};
};
