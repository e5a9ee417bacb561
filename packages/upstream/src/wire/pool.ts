import {Agent} from 'node:http';
import type {Address, Milliseconds} from '@gentianlift/types';

/** Connections to all upstreams. */
export type Pool = {
	/** The agent that holds the connections to one upstream. */
	getAgent: (address: Address) => Agent;
	/** Closes idle connections and sends new requests over new ones; running requests keep theirs. */
	replaceAgent: (address: Address) => void;
	/** Closes all connections. */
	close: () => void;
};

/** Connections to one upstream at once. */
const maxSockets = 512;
/** Idle connections kept for one upstream. */
const maxFreeSockets = 32;
/** Idle time after which a connection isn't used again. */
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

/** Creates an empty pool. */
export const createPool = (): Pool => {
	const agents = new Map<Address, Agent>();
	const replaced = new Set<Agent>();

	const getAgent = (address: Address): Agent => {
		const known = agents.get(address);
		if (known !== undefined) {
			return known;
		}

		const agent = createAgent();
		agents.set(address, agent);
		return agent;
	};

	const forgetIfUnused = (agent: Agent): void => {
		if (Object.keys(agent.sockets).length === 0) {
			replaced.delete(agent);
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
			// A replaced agent keeps no idle connections, so those in use end with their requests.
			agent.maxFreeSockets = 0;
			closeIdleSockets(agent);
			replaced.add(agent);
			for (const old of replaced) {
				forgetIfUnused(old);
			}
		},
		close() {
			for (const agent of [...agents.values(), ...replaced]) {
				agent.destroy();
			}

			agents.clear();
			replaced.clear();
		},
	};
};
