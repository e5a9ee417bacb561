import type {Cancel, Clock, Random} from '@gentianlift/clock';
import type {
	CacheEvent, LoadReport, Milliseconds, UpstreamId,
} from '@gentianlift/types';
import type {UpstreamClient} from '@gentianlift/upstream';
import type {UpstreamEntry} from '../directory.js';

/** What polling takes. */
export type PollOptions = {
	clock: Clock;
	random: Random;
	upstreams: Pick<UpstreamClient, 'readLoad' | 'readCacheEvents'>;
	/** Engines whose work this host orders. */
	getOwnEngines: () => UpstreamEntry[];
	applyLoadReport: (upstream: UpstreamId, report: LoadReport) => void;
	applyCacheEvents: (upstream: UpstreamId, events: readonly CacheEvent[]) => void;
};

const pollInterval: Milliseconds = 500;

/** Polls load reports and cache events of the engines whose work this host orders, so that the number of polls doesn't grow with the fleet. */
export const startPolls = (options: PollOptions): Cancel => {
	const {clock, random, upstreams, getOwnEngines} = options;
	const {every} = clock;
	const nextEvents = new Map<UpstreamId, number>();
	const underWay = new Set<UpstreamId>();

	const poll = async ({id, address}: UpstreamEntry): Promise<void> => {
		const report = await upstreams.readLoad(address);
		if (report !== undefined) {
			options.applyLoadReport(id, report);
		}

		const page = await upstreams.readCacheEvents(address, nextEvents.get(id) ?? 0);
		if (page !== undefined) {
			nextEvents.set(id, page.next);
			options.applyCacheEvents(id, page.events);
		}
	};

	const pollOnce = async (engine: UpstreamEntry): Promise<void> => {
		if (underWay.has(engine.id)) {
			return;
		}

		underWay.add(engine.id);
		await clock.sleep(random.below(pollInterval / 2));
		await poll(engine);
		underWay.delete(engine.id);
	};

	return every(pollInterval, () => {
		for (const engine of getOwnEngines()) {
			void pollOnce(engine);
		}
	});
};
