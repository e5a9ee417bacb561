import {createPlacement, type Placement} from '@gentianlift/placement';
import type {
	LoadReport, Milliseconds, PlacementFacts, UpstreamId,
} from '@gentianlift/types';
import type {Base} from './base.js';
import type {DemandRecord} from './demand.js';
import type {Network} from './network.js';
import {startFactsOfFleet} from './placement-facts.js';

/** This host's part in placing models on engines. */
export type ModelPlacing = {
	placement: Placement;
	/** Takes in a report of an engine whose work this host orders. */
	applyLoadReport: (upstream: UpstreamId, report: LoadReport) => void;
	/** Answers the host that holds the lease. */
	getOwnFacts: () => PlacementFacts;
	stop: () => Promise<void>;
};

const candidates = 3;
const reportAge: Milliseconds = 3000;

/** Starts this host's part; only a few hosts try to hold the lease. */
export const startPlacing = (base: Base, {fleet, peers, follower}: Network, demand: DemandRecord): ModelPlacing => {
	const {settings, incarnation, clock, upstreams} = base;
	const own = new Map<UpstreamId, {report: LoadReport; at: Milliseconds}>();
	const getOwnFacts = (): PlacementFacts => {
		const recent = [...own].filter(([, {at}]) => clock.monotonic() - at <= reportAge);
		return {demands: demand.getDemands(), reports: recent.map(([upstream, {report}]) => ({upstream, report}))};
	};

	const facts = startFactsOfFleet({
		clock, self: settings.host, fleet, peers, getOwnFacts, isHolder: () => placement.getFencingNumber() !== undefined,
	});
	const placement: Placement = createPlacement({
		...base,
		self: {host: settings.host, incarnation},
		sendOrder: async (engine, order) => upstreams.sendOrder(engine.address, order),
		getDemand: facts.getDemands,
		getConfiguration: () => follower.getCurrent()?.configuration,
		getLoadReports: facts.getReports,
		isCandidate: () => fleet.getOwners('placement', candidates).includes(settings.host),
	});
	placement.start();
	return {
		placement,
		applyLoadReport(upstream, report) {
			own.set(upstream, {report, at: clock.monotonic()});
		},
		getOwnFacts,
		async stop() {
			facts.stop();
			await placement.stop();
		},
	};
};
