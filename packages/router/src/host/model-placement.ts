import {createPlacement, type Placement} from '@gentianlift/placement';
import type {
	EngineLoadReport, Milliseconds, PlacementFacts, UpstreamId,
} from '@gentianlift/types';
import type {Infrastructure} from './infrastructure.js';
import type {DemandTracker} from './demand-tracker.js';
import type {Network} from './network.js';
import {startFleetFacts} from './fleet-facts.js';

/** This host's part in the placement of models on engines. */
export type ModelPlacement = {
	placement: Placement;
	/** Records the load report of an engine that this host schedules. */
	applyLoadReport: (upstream: UpstreamId, report: EngineLoadReport) => void;
	/** Returns the demand and load reports of this host, for the host that holds the placement lease. */
	getOwnFacts: () => PlacementFacts;
	stop: () => Promise<void>;
};

/** Number of hosts that compete for the placement lease. */
const candidateCount = 3;
/** Age after which a load report is ignored. */
const maxReportAge: Milliseconds = 3000;

/** Starts this host's part in placement. Only a few candidate hosts try to acquire the lease. */
export const startModelPlacement = (infrastructure: Infrastructure, {fleet, peers, follower}: Network, demandTracker: DemandTracker): ModelPlacement => {
	const {settings, incarnation, clock, upstreams} = infrastructure;
	const ownReports = new Map<UpstreamId, {report: EngineLoadReport; at: Milliseconds}>();
	const getOwnFacts = (): PlacementFacts => {
		const recentReports = [...ownReports].filter(([, {at}]) => clock.monotonic() - at <= maxReportAge);
		return {demands: demandTracker.getDemands(), reports: recentReports.map(([upstream, {report}]) => ({upstream, report}))};
	};

	const facts = startFleetFacts({
		clock, self: settings.host, fleet, peers, getOwnFacts, isHolder: () => placement.getFencingNumber() !== undefined,
	});
	const placement: Placement = createPlacement({
		...infrastructure,
		self: {host: settings.host, incarnation},
		sendOrder: async (engine, order) => upstreams.sendOrder(engine.address, order),
		getDemands: facts.getDemands,
		getConfiguration: () => follower.getCurrent()?.configuration,
		getLoadReports: facts.getReports,
		isCandidate: () => fleet.getOwners('placement', candidateCount).includes(settings.host),
	});
	placement.start();
	return {
		placement,
		applyLoadReport(upstream, report) {
			ownReports.set(upstream, {report, at: clock.monotonic()});
		},
		getOwnFacts,
		async stop() {
			facts.stop();
			await placement.stop();
		},
	};
};
