import type {AccountEvent, Accounts} from '@gentianlift/claims';
import type {Clock} from '@gentianlift/clock';
import type {
	ClassifiedRequest, ClassName, ModelDemand, Milliseconds, ModelName, RequestId,
} from '@gentianlift/types';

/** Tracks the demand of this host's callers, by class and by model or adapter. */
export type DemandTracker = {
	/** Accounts whose events also update the tracked demand. */
	accounts: Accounts;
	getDemands: () => ModelDemand[];
};

type TrackedRequest = {
	className: ClassName;
	needs: ModelName;
	rank: number;
	target: Milliseconds;
	startedAt: Milliseconds | undefined;
	/** Time until which a refused request counts as demand, because more engines would have served it. */
	refusedUntil: Milliseconds | undefined;
};

/** Time for which a refused request counts as demand. */
const refusedRetention: Milliseconds = 10_000;
/** Latency target of a class that sets none. */
const defaultTarget: Milliseconds = 60_000;
/** Service time of a class before its first request has ended. */
const defaultServiceTime: Milliseconds = 5000;
const maxTrackedRequests = 20_000;
/** Weight of a new service time in the exponential moving average. */
const serviceTimeSmoothing = 0.1;

const createTrackedRequest = (request: ClassifiedRequest): TrackedRequest | undefined => {
	const {work, className, rank, targets} = request;
	return work.kind === 'generation'
		? {
			className, rank, needs: work.adapter ?? work.model, target: targets.firstToken ?? targets.whole ?? defaultTarget, startedAt: undefined, refusedUntil: undefined,
		}
		: undefined;
};

/** Wraps accounts so that their events also track the demand. */
export const createDemandTracker = (accounts: Accounts, clock: Clock): DemandTracker => {
	const trackedRequests = new Map<RequestId, TrackedRequest>();
	const serviceTimes = new Map<ClassName, Milliseconds>();

	const recordEnd = (id: RequestId, trackedRequest: TrackedRequest): void => {
		trackedRequests.delete(id);
		if (trackedRequest.startedAt !== undefined) {
			const previous = serviceTimes.get(trackedRequest.className) ?? defaultServiceTime;
			serviceTimes.set(trackedRequest.className, previous + ((clock.monotonic() - trackedRequest.startedAt - previous) * serviceTimeSmoothing));
		}
	};

	const applyEvent = (event: AccountEvent): void => {
		const trackedRequest = trackedRequests.get(event.request);
		if (trackedRequest === undefined) {
			return;
		}

		switch (event.kind) {
			case 'attempt-started': {
				trackedRequest.startedAt = clock.monotonic();
				break;
			}

			case 'attempt-ended':
			case 'waiting': {
				break;
			}

			case 'refused': {
				trackedRequest.refusedUntil = clock.monotonic() + refusedRetention;
				break;
			}

			case 'finished':
			case 'failed':
			case 'cancelled':
			case 'unknown': {
				recordEnd(event.request, trackedRequest);
				break;
			}
		}
	};

	const dropExpired = (now: Milliseconds): void => {
		for (const [id, trackedRequest] of trackedRequests) {
			if ((trackedRequest.refusedUntil ?? Number.POSITIVE_INFINITY) <= now) {
				trackedRequests.delete(id);
			}
		}
	};

	return {
		accounts: {
			...accounts,
			open(request) {
				accounts.open(request);
				const trackedRequest = createTrackedRequest(request);
				if (trackedRequest !== undefined && trackedRequests.size < maxTrackedRequests) {
					trackedRequests.set(request.id, trackedRequest);
				}
			},
			apply(event) {
				applyEvent(event);
				accounts.apply(event);
			},
		},
		getDemands() {
			dropExpired(clock.monotonic());
			const demands = new Map<string, ModelDemand>();
			for (const {className, needs, rank, target, startedAt, refusedUntil} of trackedRequests.values()) {
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
