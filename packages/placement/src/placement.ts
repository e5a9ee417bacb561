import type {Cancel, Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {
	Configuration, KeyValueService, LoadReport, UpstreamId, WeightStore,
} from '@gentianlift/types';
import {createDispatch, type SendOrder} from './dispatch.js';
import type {Self} from './lease/acquire-term.js';
import {createHolder} from './lease/holder.js';
import {planOrders} from './plan/plan-orders.js';
import {noPressure, type Demand, type Pressure} from './plan/types.js';
import {defaultTiming, type Timing} from './timing.js';

/** What placement needs of its host. */
export type PlacementPorts = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	self: Self;
	keyValue: KeyValueService;
	weightStore: WeightStore;
	sendOrder: SendOrder;
	/** Demand over all hosts, as far as this one knows it. */
	getDemand: () => Demand[];
	getConfiguration: () => Configuration | undefined;
	/** Newest report of each engine that has answered within the last seconds. */
	getLoadReports: () => ReadonlyMap<UpstreamId, LoadReport>;
	/** Whether this host should try to hold the lease; a large fleet lets only a few try. */
	isCandidate?: () => boolean;
	timing?: Timing;
};

/** Places models, adapters and roles on engines while this host holds the lease. */
export type Placement = {
	start: () => void;
	/** Stops planning, waits for orders under way and gives up the lease. */
	stop: () => Promise<void>;
	/** Fencing number under which this host gives orders; undefined if it doesn't. */
	getFencingNumber: () => number | undefined;
	/** Plans and sends once. */
	run: () => Promise<void>;
};

/** Creates a host's placement; it does nothing before its start. */
export const createPlacement = (ports: PlacementPorts): Placement => {
	const {clock, metrics} = ports;
	const timing = ports.timing ?? defaultTiming;
	const holder = createHolder({...ports, timing, isCandidate: ports.isCandidate ?? (() => true)});
	const dispatch = createDispatch({
		clock, metrics, timing, holder, sendOrder: ports.sendOrder,
	});
	let pressure: Pressure = noPressure;
	let plannedFor: number | undefined;
	let underWay: Promise<void> = Promise.resolve();
	let cancel: Cancel | undefined;

	const startTerm = (fencingNumber: number): void => {
		if (plannedFor !== fencingNumber) {
			plannedFor = fencingNumber;
			pressure = noPressure;
			dispatch.clear();
		}
	};

	const plan = async (configuration: Configuration): Promise<void> => {
		const {engines, models, adapters} = configuration.inventory;
		const reports = ports.getLoadReports();
		const rate = await ports.weightStore.readRate();
		const next = planOrders({
			now: clock.monotonic(), engines, models, adapters, reports, demands: ports.getDemand(), pending: dispatch.getPending(), rate, pressure,
		});
		pressure = next.pressure;
		dispatch.add(next.orders);
		await dispatch.run(reports);
	};

	const run = async (): Promise<void> => {
		const term = holder.getTerm();
		const configuration = ports.getConfiguration();
		if (term === undefined || configuration === undefined) {
			return;
		}

		startTerm(term.fencingNumber);
		underWay = plan(configuration);
		await underWay;
	};

	const schedule = (): void => {
		cancel = clock.after(timing.plan, () => {
			void run().finally(() => {
				if (cancel !== undefined) {
					schedule();
				}
			});
		});
	};

	return {
		start() {
			holder.start();
			schedule();
		},
		async stop() {
			cancel?.();
			cancel = undefined;
			await underWay;
			await holder.stop();
		},
		getFencingNumber: () => holder.getTerm()?.fencingNumber,
		run,
	};
};
