import type {Cancel, Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {
	Configuration, KeyValueService, EngineLoadReport, UpstreamId, WeightStore,
} from '@gentianlift/types';
import {createOrderDispatcher, type SendOrder} from './order-dispatcher.js';
import type {HostIncarnation} from './lease/acquire-term.js';
import {createLeaderElection} from './lease/leader-election.js';
import {planOrders} from './plan/plan-orders.js';
import {emptyPlanHistory, type ModelDemand, type PlanHistory} from './plan/types.js';
import {defaultTiming, type Timing} from './timing.js';

/** Dependencies and options of placement. */
export type PlacementOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	self: HostIncarnation;
	keyValue: KeyValueService;
	weightStore: WeightStore;
	sendOrder: SendOrder;
	/** Returns the demand of all hosts, as far as this host knows it. */
	getDemands: () => ModelDemand[];
	getConfiguration: () => Configuration | undefined;
	/** Returns the latest report of each engine that has answered recently. */
	getLoadReports: () => ReadonlyMap<UpstreamId, EngineLoadReport>;
	/** Whether this host should try to acquire the lease; in a large fleet only a few hosts do. */
	isCandidate?: () => boolean;
	timing?: Timing;
};

/** Places models, adapters and roles on engines while this host holds the lease. */
export type Placement = {
	start: () => void;
	/** Stops planning, waits for the orders in flight and releases the lease. */
	stop: () => Promise<void>;
	/** Returns the fencing number of this host's orders; undefined when it does not hold the lease. */
	getFencingNumber: () => number | undefined;
	/** Plans and sends orders once, if this host holds the lease. */
	run: () => Promise<void>;
};

/** Creates the placement of a host; it is inactive until started. */
export const createPlacement = (options: PlacementOptions): Placement => {
	const {clock, metrics} = options;
	const timing = options.timing ?? defaultTiming;
	const election = createLeaderElection({...options, timing, isCandidate: options.isCandidate ?? (() => true)});
	const dispatcher = createOrderDispatcher({
		clock, metrics, timing, election, sendOrder: options.sendOrder,
	});
	let history: PlanHistory = emptyPlanHistory;
	let currentFencingNumber: number | undefined;
	let currentRun: Promise<void> = Promise.resolve();
	let cancel: Cancel | undefined;

	/** Discards the history and the orders of an earlier term. */
	const resetOnNewTerm = (fencingNumber: number): void => {
		if (currentFencingNumber !== fencingNumber) {
			currentFencingNumber = fencingNumber;
			history = emptyPlanHistory;
			dispatcher.clear();
		}
	};

	const plan = async (configuration: Configuration): Promise<void> => {
		const {engines, models, adapters} = configuration.inventory;
		const reports = options.getLoadReports();
		const rate = await options.weightStore.readBandwidth();
		const next = planOrders({
			now: clock.monotonic(), engines, models, adapters, reports, demands: options.getDemands(), pending: dispatcher.getPending(), rate, history,
		});
		history = next.history;
		dispatcher.add(next.orders);
		await dispatcher.run(reports);
	};

	const run = async (): Promise<void> => {
		const term = election.getTerm();
		const configuration = options.getConfiguration();
		if (term === undefined || configuration === undefined) {
			return;
		}

		resetOnNewTerm(term.fencingNumber);
		currentRun = plan(configuration);
		await currentRun;
	};

	const schedule = (): void => {
		cancel = clock.after(timing.planInterval, () => {
			void run().finally(() => {
				if (cancel !== undefined) {
					schedule();
				}
			});
		});
	};

	return {
		start() {
			election.start();
			schedule();
		},
		async stop() {
			cancel?.();
			cancel = undefined;
			await currentRun;
			await election.stop();
		},
		getFencingNumber: () => election.getTerm()?.fencingNumber,
		run,
	};
};
