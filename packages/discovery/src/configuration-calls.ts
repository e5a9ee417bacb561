import type {Clock, Random} from '@gentianlift/clock';
import type {Address, Entry} from '@gentianlift/types';
import {isEntry} from './checked-entries.js';
import {createPeerClients} from './peer-clients.js';

/** Which hosts are asked for a configuration that is newer than a version. */
export type ConfigurationQuery = {
	version: number;
	/** Hosts to choose from, and how many of them are asked at once. */
	addresses: readonly Address[];
	count: number;
};

/** Answers of the hosts that were asked. */
export type NewerConfigurations = {
	asked: number;
	/** Number of hosts that answered, also that they know no newer one. */
	answered: number;
	/** Entries that hold newer ones. */
	entries: Entry[];
};

/** Client that reads the newest configuration from other hosts. */
export type ConfigurationClient = {
	/** Asks randomly chosen hosts; resolves once each has answered or failed. */
	fetchNewer: (query: ConfigurationQuery) => Promise<NewerConfigurations>;
};

/** Options of the client. */
export type ConfigurationClientOptions = {
	/** Returns the addresses of all other hosts. */
	getAddresses: () => Address[];
	clock: Clock;
	random: Random;
};

/** Path of the call on the address for other hosts. */
export const configurationPath = '/v1/configuration';
/** Time limits of a call; a configuration may be large, and links slow. */
const timeouts = {timeout: 300, bodyTimeout: 3000} as const;

/** Reads the version by which another host asks; undefined if it is malformed. */
export const decodeConfigurationQuery = (parameters: URLSearchParams): number | undefined => {
	const version = Number(parameters.get('after') ?? Number.NaN);
	return Number.isSafeInteger(version) ? version : undefined;
};

/** Creates a client that keeps one connection pool for each other host. */
export const createConfigurationClient = ({getAddresses, clock, random}: ConfigurationClientOptions): ConfigurationClient => {
	const clients = createPeerClients(clock, timeouts);
	return {
		async fetchNewer({version, addresses, count}) {
			const inUse = getAddresses();
			const chosen = random.sample(addresses, count);
			const outcomes = await Promise.all(chosen.map(async address =>
				clients.get(address, inUse).call({method: 'GET', path: `${configurationPath}?after=${version}`})));
			const answers = outcomes.filter(outcome => outcome.kind === 'answered');
			return {asked: chosen.length, answered: answers.length, entries: answers.map(({body}) => body).filter(body => isEntry(body))};
		},
	};
};
