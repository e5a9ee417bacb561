import type {WeightStore} from '@gentianlift/types';
import {z} from 'zod';
import {createJsonClient, type PlatformClientOptions} from './json-client.js';

const rateSchema = z.object({bytesPerSecond: z.number(), bytesUnderWay: z.number()});

/** Weight store that is called over HTTP. */
export type WeightStoreClient = WeightStore & {close: () => void};

/** Creates a client of the weight store. */
export const createWeightStoreClient = (options: PlatformClientOptions): WeightStoreClient => {
	const {call, close} = createJsonClient(options);
	return {
		close,
		async readBandwidth() {
			const outcome = await call({method: 'GET', path: '/v1/rate'});
			return outcome.kind === 'answered' ? rateSchema.safeParse(outcome.body).data : undefined;
		},
	};
};
