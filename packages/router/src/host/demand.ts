import type {AccountEvent, Accounts} from '@gentianlift/claims';
import type {Clock} from '@gentianlift/clock';
import type {
	ClassifiedRequest, ClassName, Demand, Milliseconds, ModelName, RequestId,
} from '@gentianlift/types';

/** Demand of this host's own callers, by class and by model or adapter. */
export type DemandRecord = {
	/** The accounts, which tell the record of every request on the way. */
	accounts: Accounts;
	getDemands: () => Demand[];
};

type Item = {
	className: ClassName;
	needs: ModelName;
	rank: number;
	target: Milliseconds;
	startedAt: Milliseconds | undefined;
	/** A refused request counts for a while, since its caller would have been served by more engines. */
	refusedUntil: Milliseconds | undefined;
};

const refusedDuration: Milliseconds = 10_000;
const defaultTarget: Milliseconds = 60_000;
const defaultServiceTime: Milliseconds = 5000;
const mostItems = 20_000;
/** Weight of a new service time in the average. */
const newestWeight = 0.1;

const getItem = (request: ClassifiedRequest): Item | undefined => {
	const {work, className, rank, targets} = request;
	return work.kind === 'generation'
		? {
			className, rank, needs: work.adapter ?? work.model, target: targets.firstToken ?? targets.whole ?? defaultTarget, startedAt: undefined, refusedUntil: undefined,
		}
		: undefined;
};

/** Wraps accounts in a record of demand. */
export const createDemandRecord = (accounts: Accounts, clock: Clock): DemandRecord => {
	const items = new Map<RequestId, Item>();
	const serviceTimes = new Map<ClassName, Milliseconds>();

	const finish = (id: RequestId, item: Item): void => {
		items.delete(id);
		if (item.startedAt !== undefined) {
			const known = serviceTimes.get(item.className) ?? defaultServiceTime;
			serviceTimes.set(item.className, known + ((clock.monotonic() - item.startedAt - known) * newestWeight));
		}
	};

	const applyEvent = (event: AccountEvent): void => {
		const item = items.get(event.request);
		if (item === undefined) {
			return;
		}

		switch (event.kind) {
			case 'attempt-started': {
				item.startedAt = clock.monotonic();
				break;
			}

			case 'attempt-ended':
			case 'waiting': {
				break;
			}

			case 'refused': {
				item.refusedUntil = clock.monotonic() + refusedDuration;
				break;
			}

			case 'finished':
			case 'failed':
			case 'cancelled':
			case 'unknown': {
				finish(event.request, item);
				break;
			}
		}
	};

	const dropOld = (now: Milliseconds): void => {
		for (const [id, item] of items) {
			if ((item.refusedUntil ?? Number.POSITIVE_INFINITY) <= now) {
				items.delete(id);
			}
		}
	};

	return {
		accounts: {
			...accounts,
			open(request) {
				accounts.open(request);
				const item = getItem(request);
				if (item !== undefined && items.size < mostItems) {
					items.set(request.id, item);
				}
			},
			apply(event) {
				applyEvent(event);
				accounts.apply(event);
			},
		},
		getDemands() {
			dropOld(clock.monotonic());
			const demands = new Map<string, Demand>();
			for (const {className, needs, rank, target, startedAt, refusedUntil} of items.values()) {
				const key = `${className}\n${needs}`;
				const demand = demands.get(key) ?? {
					className, needs, rank, running: 0, waiting: 0, target, serviceTime: serviceTimes.get(className) ?? defaultServiceTime,
				};
				demands.set(key, demand);
				demand[startedAt !== undefined && refusedUntil === undefined ? 'running' : 'waiting']++;
			}

			return [...demands.values()];
		},
	};
};
