import type {Clock} from '@gentianlift/clock';
import type {JsonOutcome} from '@gentianlift/platform';
import type {UpstreamKey} from '@gentianlift/routing';
import type {Address, Milliseconds} from '@gentianlift/types';
import {createPeerClients} from './peer-clients.js';

/** Asks a host whether it reaches the upstreams of a service, or one of them. */
export type ReachQuery = {service: string; upstream?: UpstreamKey};

/** What a host answers to a query. */
export type Reach = {
	/** Whether it reaches an upstream of the service, or the one that the query names, and takes calls. */
	isReached: boolean;
	/** Number of requests that it handles. */
	openRequests: number;
};

/** Client that asks other hosts whether they reach upstreams. */
export type ReachClient = {
	/** Asks one host; `inUse` are the addresses of all hosts that may be asked. Resolves with undefined without an answer. */
	ask: (address: Address, query: ReachQuery, inUse: readonly Address[]) => Promise<Reach | undefined>;
};

/** Path of the call on the address for other hosts. */
export const reachPath = '/v1/reach';
/** Timeout of a call; a host may try to connect to an upstream before it answers. */
const timeout: Milliseconds = 500;

const isReach = (body: unknown): body is Reach => {
	const {isReached, openRequests} = (body ?? {}) as Partial<Reach>;
	return typeof isReached === 'boolean' && typeof openRequests === 'number';
};

/** Returns the reach in an answer; a host of an older version answers without one. */
const getReach = (outcome: JsonOutcome): Reach | undefined =>
	outcome.kind === 'answered' && isReach(outcome.body) ? outcome.body : undefined;

/** Reads a query from the parameters of a URL. */
export const decodeReachQuery = (parameters: URLSearchParams): ReachQuery => {
	const upstream = parameters.get('upstream');
	return {service: parameters.get('service') ?? '', ...(upstream !== null && {upstream})};
};

/** Creates a client that keeps one connection pool for each other host. */
export const createReachClient = (clock: Clock): ReachClient => {
	const clients = createPeerClients(clock, {timeout});
	return {
		async ask(address, query, inUse) {
			const parameters = new URLSearchParams(query);
			return getReach(await clients.get(address, inUse).call({method: 'GET', path: `${reachPath}?${parameters.toString()}`}));
		},
	};
};
