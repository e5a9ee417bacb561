import type {RouteKind} from '@gentianlift/routing';
import type {Address} from '@gentianlift/types';
import {idleTimeouts, UpstreamAgent} from './upstream-agent.js';

/** Connection pools for calls that are forwarded to other hosts. */
export type HostAgents = {
	/** Returns the pool of a host's address for requests of a route kind; pools of addresses that are no longer in use are closed. */
	get: (address: Address, kind: RouteKind, inUse: readonly Address[]) => UpstreamAgent;
};

type AgentPair = {agent: UpstreamAgent; nonIdempotentAgent: UpstreamAgent};

/** Creates pools without connections. */
export const createHostAgents = (): HostAgents => {
	const agents = new Map<Address, AgentPair>();

	const retireUnused = (inUse: readonly Address[]): void => {
		for (const [address, {agent, nonIdempotentAgent}] of agents) {
			if (!inUse.includes(address)) {
				agent.retire();
				nonIdempotentAgent.retire();
				agents.delete(address);
			}
		}
	};

	return {
		get(address, kind, inUse) {
			retireUnused([...inUse, address]);
			const pair = agents.get(address) ?? {agent: new UpstreamAgent(), nonIdempotentAgent: new UpstreamAgent({idleTimeout: idleTimeouts.short})};
			agents.set(address, pair);
			return kind === 'non-idempotent' ? pair.nonIdempotentAgent : pair.agent;
		},
	};
};
