import {createRandom, type Clock} from '@gentianlift/clock';
import {createMemoryKeyValue, type MemoryKeyValue} from '@gentianlift/platform';
import type {Environment} from './environment.js';
import type {OperatorCall, OperatorOutcome} from './operator-client.js';

/** Host of a fake environment. */
export type FakeHost = {version: number; isReachable: boolean};

/** Environment with in-memory files, hosts and key-value service, for tests. */
export type FakeEnvironment = Environment & {
	files: Map<string, string>;
	service: MemoryKeyValue;
	hosts: Map<string, FakeHost>;
	/** POST calls that the hosts received, as `host path body`. */
	commands: string[];
};

const sampleUpstream = {
	id: 'kopi-engine-1', zone: 'attica-a', group: 'counter-8b', owner: 'h1', standing: 'live', running: 3, waiting: 0,
};

const sampleAccount = {id: 'h1.1.7', ran: 'ran', state: {kind: 'finished', at: 0, status: 200}};

const getResponseBody = (host: string, {version}: FakeHost, path: string): unknown => {
	switch (path) {
		case '/operator/status': {
			return {
				host, zone: 'attica-a', state: 'alive', ready: true, configurationVersion: version, configurationConfirmed: true, requests: {waiting: 1, running: 2}, eventLoopLag: 0.4,
			};
		}

		case '/operator/hosts': {
			return {
				hosts: [{
					host, zone: 'attica-a', state: 'alive', incarnation: 1, callerAddress: '127.0.0.1:1', configurationVersion: version, load: 0.1,
				}],
			};
		}

		case '/operator/upstreams': {
			return {upstreams: [sampleUpstream]};
		}

		case '/operator/requests/h1.1.7': {
			return sampleAccount;
		}

		default: {
			return undefined;
		}
	}
};

const callFakeHost = ({hosts, commands}: Pick<FakeEnvironment, 'hosts' | 'commands'>, host: string, {method, path, body}: OperatorCall): OperatorOutcome => {
	const fakeHost = hosts.get(host);
	if (fakeHost?.isReachable !== true) {
		return {kind: 'unreachable', reason: 'connect ECONNREFUSED'};
	}

	if (method === 'POST') {
		commands.push(`${host} ${path} ${JSON.stringify(body)}`);
		return {kind: 'answered', status: 200, body: {}};
	}

	const responseBody = getResponseBody(host, fakeHost, path);
	return responseBody === undefined
		? {kind: 'answered', status: 404, body: {error: {message: 'Nothing is known of this request.'}}}
		: {kind: 'answered', status: 200, body: responseBody};
};

/** Creates a fake environment with the hosts h1, h2 and h3. */
export const createFakeEnvironment = (clock: Clock): FakeEnvironment => {
	const files = new Map<string, string>();
	const service = createMemoryKeyValue({clock, random: createRandom(1)});
	const hosts = new Map(['h1', 'h2', 'h3'].map(host => [host, {version: 0, isReachable: true}]));
	const commands: string[] = [];
	let sequence = 0;
	return {
		clock,
		files,
		service,
		hosts,
		commands,
		variables: {USER: 'maria', GENTIANLIFT_KEY_VALUE_URL: 'http://127.0.0.1:1', GENTIANLIFT_OPERATORS: 'h1=127.0.0.1:1,h2=127.0.0.1:2,h3=127.0.0.1:3'},
		createToken: () => `token-${++sequence}`,
		readFile: async path => files.get(path),
		createKeyValue: () => ({...service, close: () => undefined}),
		callOperator: async ({host}, call) => callFakeHost({hosts, commands}, host, call),
	};
};
