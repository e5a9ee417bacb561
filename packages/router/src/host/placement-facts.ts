import type {Cancel, Clock} from '@gentianlift/clock';
import type {
	Demand, HostId, LoadReport, Milliseconds, PeerCalls, PlacementFacts, UpstreamId,
} from '@gentianlift/types';
import type {Fleet} from './fleet.js';

/** What all hosts know that decides which models engines should hold, as far as it has reached this host. */
export type FactsOfFleet = {
	getDemands: () => Demand[];
	getReports: () => ReadonlyMap<UpstreamId, LoadReport>;
	stop: Cancel;
};

/** What gathering takes; `isHolder` says whether this host plans, as only the holder asks. */
export type FactsOptions = {
	clock: Clock;
	self: HostId;
	fleet: Pick<Fleet, 'getHosts'>;
	peers: Pick<PeerCalls, 'readPlacementFacts'>;
	getOwnFacts: () => PlacementFacts;
	isHolder: () => boolean;
};

type Answer = {facts: PlacementFacts; at: Milliseconds};

const interval: Milliseconds = 1000;
/** Hosts asked in each interval, which bounds the holder's traffic at any size of the fleet. */
const hostsPerInterval = 32;
/** Answers older than this are left out, unless it takes longer to ask all hosts once. */
const shortestAge: Milliseconds = 5000;

/** Starts to gather facts from hosts in turn. */
export const startFactsOfFleet = ({clock, self, fleet, peers, getOwnFacts, isHolder}: FactsOptions): FactsOfFleet => {
	const {every} = clock;
	const answers = new Map<HostId, Answer>();
	let turn = 0;

	const ask = async (host: HostId): Promise<void> => {
		const outcome = await peers.readPlacementFacts(host, {});
		if (outcome.kind === 'answered') {
			answers.set(host, {facts: outcome.answer, at: clock.monotonic()});
		}
	};

	const getOthers = (): HostId[] => fleet.getHosts().map(({host}) => host).filter(host => host !== self);

	const askNext = (): void => {
		if (!isHolder()) {
			answers.clear();
			return;
		}

		const others = getOthers();
		for (let count = 0; count < Math.min(hostsPerInterval, others.length); count++) {
			void ask(others[turn++ % others.length] ?? self);
		}
	};

	const getAll = (): PlacementFacts[] => {
		const round = Math.ceil(getOthers().length / hostsPerInterval) * interval;
		const oldest = clock.monotonic() - Math.max(shortestAge, 2 * round);
		const recent = [...answers.values()].filter(({at}) => at >= oldest);
		return [getOwnFacts(), ...recent.map(({facts}) => facts)];
	};

	return {
		getDemands: () => getAll().flatMap(({demands}) => demands),
		getReports: () => new Map(getAll().flatMap(({reports}) => reports.map(({upstream, report}) => [upstream, report]))),
		stop: every(interval, askNext),
	};
};
