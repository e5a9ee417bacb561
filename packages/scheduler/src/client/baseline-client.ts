import {getGroupsFor} from '@gentianlift/policy';
import type {
	ClassifiedRequest, RequestId, Settings, TicketEnd, UpstreamId,
} from '@gentianlift/types';
import {type Baseline, createBaseline} from './baseline.js';
import {getTicket} from './tickets.js';
import type {
	AskOptions, Grant, GrantClient, GrantClientOptions,
} from './types.js';

const retryAfter = 1000;

/** Grants at once: no order, no admission and no word to other hosts. */
export class BaselineClient implements GrantClient {
	readonly #options: GrantClientOptions;
	readonly #baseline: Baseline;
	readonly #running = new Map<RequestId, UpstreamId>();

	constructor(options: GrantClientOptions, order: Exclude<Settings['order'], 'policy'>) {
		this.#options = options;
		this.#baseline = createBaseline(order, options.random);
	}

	readonly ask = async (request: ClassifiedRequest, options: AskOptions = {}): Promise<Grant> => {
		const ticket = getTicket(request, options, this.#options.clock.now());
		const groups = getGroupsFor(this.#options.getGroups(), ticket.needs);
		const upstream = this.#baseline.choose(groups, ticket);
		if (upstream === undefined) {
			return {kind: 'shed', reason: 'no-upstream', retryAfter};
		}

		this.#running.set(request.id, upstream);
		return {
			kind: 'granted', upstream, priority: 0, yieldSignal: new AbortController().signal,
		};
	};

	readonly end = ({request}: TicketEnd): void => {
		const upstream = this.#running.get(request);
		this.#running.delete(request);
		if (upstream !== undefined) {
			this.#baseline.end(upstream);
		}
	};

	readonly withdraw = (): void => {
		// Nothing waits.
	};

	readonly receive = (): void => {
		// Nothing was asked of an owner.
	};

	readonly getCounts = (): {waiting: number; running: number; bytes: number} => ({waiting: 0, running: this.#running.size, bytes: 0});

	readonly stop = (): void => {
		// No timer runs.
	};
}
