import type {Cancel, Clock} from '@gentianlift/clock';
import type {
	ModelDemand, HostId, EngineLoadReport, Milliseconds, PeerCalls, PlacementFacts, UpstreamId,
} from '@gentianlift/types';
import type {Fleet} from './fleet.js';

/** Demand and load reports of all hosts, on which the placement of models is based, as far as this host has received them. */
export type FleetFacts = {
	getDemands: () => ModelDemand[];
	getReports: () => ReadonlyMap<UpstreamId, EngineLoadReport>;
	stop: Cancel;
};

/** Options of the collection; `isHolder` returns whether this host holds the placement lease, because only the holder polls the others. */
export type FleetFactsOptions = {
	clock: Clock;
	self: HostId;
	fleet: Pick<Fleet, 'getHosts'>;
	peers: Pick<PeerCalls, 'readPlacementFacts'>;
	getOwnFacts: () => PlacementFacts;
	isHolder: () => boolean;
};

type PolledFacts = {facts: PlacementFacts; at: Milliseconds};

const pollInterval: Milliseconds = 1000;
/** Number of hosts polled in each interval, which bounds the holder's traffic at any fleet size. */
const hostsPerInterval = 32;
/** Minimum age at which a host's facts expire; in a large fleet they expire after two polling rounds. */
const minFactsLifetime: Milliseconds = 5000;

/** Starts to poll the hosts for their facts in round-robin order. */
export const startFleetFacts = ({clock, self, fleet, peers, getOwnFacts, isHolder}: FleetFactsOptions): FleetFacts => {
	const {every} = clock;
	const polledFacts = new Map<HostId, PolledFacts>();
	let nextIndex = 0;

	const pollHost = async (host: HostId): Promise<void> => {
		const outcome = await peers.readPlacementFacts(host, {});
		if (outcome.kind === 'answered') {
			polledFacts.set(host, {facts: outcome.answer, at: clock.monotonic()});
		}
	};

	const getOtherHosts = (): HostId[] => fleet.getHosts().map(({host}) => host).filter(host => host !== self);

	const pollNextHosts = (): void => {
		if (!isHolder()) {
			polledFacts.clear();
			return;
		}

		const otherHosts = getOtherHosts();
		for (let count = 0; count < Math.min(hostsPerInterval, otherHosts.length); count++) {
			void pollHost(otherHosts[nextIndex++ % otherHosts.length] ?? self);
		}
	};

	const getRecentFacts = (): PlacementFacts[] => {
		const roundDuration = Math.ceil(getOtherHosts().length / hostsPerInterval) * pollInterval;
		const oldest = clock.monotonic() - Math.max(minFactsLifetime, 2 * roundDuration);
		const recent = [...polledFacts.values()].filter(({at}) => at >= oldest);
		return [getOwnFacts(), ...recent.map(({facts}) => facts)];
	};

	return {
		getDemands: () => getRecentFacts().flatMap(({demands}) => demands),
		getReports: () => new Map(getRecentFacts().flatMap(({reports}) => reports.map(({upstream, report}) => [upstream, report]))),
		stop: every(pollInterval, pollNextHosts),
	};
};
