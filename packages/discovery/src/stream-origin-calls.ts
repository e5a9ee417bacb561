import type {Clock, Random} from '@gentianlift/clock';
import type {JsonClient} from '@gentianlift/platform';
import type {StreamOrigin} from '@gentianlift/routing';
import type {Address, Milliseconds} from '@gentianlift/types';
import {createPeerClients} from './peer-clients.js';

/** A stream whose origin is asked for. */
export type OriginQuery = {
	/** Request that brought its first event, if its caller names one. */
	request: string | undefined;
	/** Services that its route leads to. */
	services: readonly string[];
	/** Longest time since its first event. */
	maxAge: Milliseconds;
};

/** Client that asks other hosts for the origin of a stream. */
export type StreamOriginClient = {
	/** Asks a few randomly chosen hosts; resolves with the first origin that one of them knows, or with undefined. */
	find: (query: OriginQuery) => Promise<StreamOrigin | undefined>;
};

/** Options of the client. */
export type StreamOriginClientOptions = {
	/** Addresses of other hosts. */
	getAddresses: () => Address[];
	clock: Clock;
	random: Random;
};

/** Path of the call on the address for other hosts. */
export const streamOriginPath = '/v1/stream-origin';
/** Timeout of a call; the caller of the stream waits meanwhile. */
const timeout: Milliseconds = 150;
/** Number of hosts that are asked: each of them should know, so that a few make up for lost reports and restarts. */
const askedHosts = 3;

const isStreamOrigin = (body: unknown): body is StreamOrigin => {
	const {service, softwareVersion} = (body ?? {}) as Partial<StreamOrigin>;
	return typeof service === 'string' && typeof softwareVersion === 'string';
};

/** Returns the query as parameters of a URL. */
const encodeQuery = ({request, services, maxAge}: OriginQuery): string => {
	const parameters = new URLSearchParams({maxAge: String(maxAge), ...(request !== undefined && {request})});
	for (const service of services) {
		parameters.append('service', service);
	}

	return parameters.toString();
};

/** Reads a query from the parameters of a URL. */
export const decodeOriginQuery = (parameters: URLSearchParams): OriginQuery => ({
	request: parameters.get('request') ?? undefined, services: parameters.getAll('service'), maxAge: Number(parameters.get('maxAge') ?? Number.POSITIVE_INFINITY),
});

/** Creates a client that keeps one connection pool for each other host. */
export const createStreamOriginClient = ({getAddresses, clock, random}: StreamOriginClientOptions): StreamOriginClient => {
	const clients = createPeerClients(clock, {timeout});

	const ask = async (client: JsonClient, query: OriginQuery): Promise<StreamOrigin> => {
		const outcome = await client.call({method: 'GET', path: `${streamOriginPath}?${encodeQuery(query)}`});
		if (outcome.kind === 'answered' && isStreamOrigin(outcome.body)) {
			return outcome.body;
		}

		throw new Error('The host doesn\'t know the origin.');
	};

	return {
		async find(query) {
			try {
				const addresses = getAddresses();
				return await Promise.any(random.sample(addresses, askedHosts).map(async address => ask(clients.get(address, addresses), query)));
			} catch {
				// None of the hosts knows the origin.
				return undefined;
			}
		},
	};
};
