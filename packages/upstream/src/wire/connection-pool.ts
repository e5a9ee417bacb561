import {Agent} from 'node:http';
import type {Address, Milliseconds} from '@gentianlift/types';

/** Keep-alive connections to all upstreams. */
export type ConnectionPool = {
	/** Returns the agent that manages the connections to one upstream. */
	getAgent: (address: Address) => Agent;
	/** Closes the idle connections to an upstream, so that new requests use new connections; in-flight requests keep theirs. */
	replaceAgent: (address: Address) => void;
	/** Closes all connections, including those in use. */
	close: () => void;
};

/** Maximum number of connections to one upstream. */
const maxSockets = 512;
/** Maximum number of idle connections to one upstream. */
const maxFreeSockets = 32;
/** Idle time after which a connection is closed. */
const idleTimeout: Milliseconds = 4000;

const createAgent = (): Agent => new Agent({
	keepAlive: true, maxSockets, maxFreeSockets, scheduling: 'lifo', timeout: idleTimeout,
});

const closeIdleSockets = (agent: Agent): void => {
	for (const sockets of Object.values(agent.freeSockets)) {
		for (const socket of sockets ?? []) {
			socket.destroy();
		}
	}
};

/** Creates an empty connection pool. */
export const createConnectionPool = (): ConnectionPool => {
	const agents = new Map<Address, Agent>();
	const retiredAgents = new Set<Agent>();

	const getAgent = (address: Address): Agent => {
		const existing = agents.get(address);
		if (existing !== undefined) {
			return existing;
		}

		const agent = createAgent();
		agents.set(address, agent);
		return agent;
	};

	const removeIfUnused = (agent: Agent): void => {
		if (Object.keys(agent.sockets).length === 0) {
			retiredAgents.delete(agent);
		}
	};

	return {
		getAgent,
		replaceAgent(address) {
			const agent = agents.get(address);
			if (agent === undefined) {
				return;
			}

			agents.delete(address);
			// A retired agent keeps no idle connections, so each connection in use closes with its request.
			agent.maxFreeSockets = 0;
			closeIdleSockets(agent);
			retiredAgents.add(agent);
			for (const retired of retiredAgents) {
				removeIfUnused(retired);
			}
		},
		close() {
			for (const agent of [...agents.values(), ...retiredAgents]) {
				agent.destroy();
			}

			agents.clear();
			retiredAgents.clear();
		},
	};
};
