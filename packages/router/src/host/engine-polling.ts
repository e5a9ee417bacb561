import type {Cancel, Clock, Random} from '@gentianlift/clock';
import type {
	CacheEvent, EngineLoadReport, Milliseconds, UpstreamId,
} from '@gentianlift/types';
import type {UpstreamClient} from '@gentianlift/upstream';
import type {UpstreamEntry} from '../upstream-directory.js';

/** Options of the polling. */
export type EnginePollingOptions = {
	clock: Clock;
	random: Random;
	upstreams: Pick<UpstreamClient, 'readLoad' | 'readCacheEvents'>;
	/** Returns the engines that this host schedules. */
	getScheduledEngines: () => UpstreamEntry[];
	applyLoadReport: (upstream: UpstreamId, report: EngineLoadReport) => void;
	applyCacheEvents: (upstream: UpstreamId, events: readonly CacheEvent[]) => void;
};

const pollInterval: Milliseconds = 500;

/** Starts to poll load reports and cache events of the engines that this host schedules. Other hosts don't poll them, so that the polls per engine don't grow with the fleet. */
export const startEnginePolling = (options: EnginePollingOptions): Cancel => {
	const {clock, random, upstreams, getScheduledEngines} = options;
	const {every} = clock;
	const nextEventNumbers = new Map<UpstreamId, number>();
	const inFlight = new Set<UpstreamId>();

	const poll = async ({id, address}: UpstreamEntry): Promise<void> => {
		const report = await upstreams.readLoad(address);
		if (report !== undefined) {
			options.applyLoadReport(id, report);
		}

		const page = await upstreams.readCacheEvents(address, nextEventNumbers.get(id) ?? 0);
		if (page !== undefined) {
			nextEventNumbers.set(id, page.next);
			options.applyCacheEvents(id, page.events);
		}
	};

	const pollUnlessInFlight = async (engine: UpstreamEntry): Promise<void> => {
		if (inFlight.has(engine.id)) {
			return;
		}

		inFlight.add(engine.id);
		await clock.sleep(random.nextInt(pollInterval / 2));
		await poll(engine);
		inFlight.delete(engine.id);
	};

	return every(pollInterval, () => {
		for (const engine of getScheduledEngines()) {
			void pollUnlessInFlight(engine);
		}
	});
};
