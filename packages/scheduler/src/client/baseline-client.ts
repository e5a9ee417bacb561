import {getGroupsFor} from '@gentianlift/policy';
import type {
	ClassifiedRequest, RequestId, Settings, TicketEnd, UpstreamId,
} from '@gentianlift/types';
import {type Baseline, createBaseline} from './baseline.js';
import {createTicket} from './tickets.js';
import type {
	GrantOptions, GrantOutcome, GrantClient, GrantClientOptions,
} from './types.js';

/** Milliseconds after which a shed request may be sent again. */
const retryAfter = 1000;

/** Grants every request at once, without queue, admission control or coordination with other hosts. */
export class BaselineClient implements GrantClient {
	readonly #options: GrantClientOptions;
	readonly #baseline: Baseline;
	readonly #running = new Map<RequestId, UpstreamId>();

	constructor(options: GrantClientOptions, order: Exclude<Settings['order'], 'policy'>) {
		this.#options = options;
		this.#baseline = createBaseline(order, options.random);
	}

	readonly requestGrant = async (request: ClassifiedRequest, options: GrantOptions = {}): Promise<GrantOutcome> => {
		const ticket = createTicket(request, options, this.#options.clock.now());
		const groups = getGroupsFor(this.#options.getGroups(), ticket.needs);
		const upstream = this.#baseline.choose(groups, ticket);
		if (upstream === undefined) {
			return {kind: 'shed', reason: 'no-upstream', retryAfter};
		}

		this.#running.set(request.id, upstream);
		return {
			kind: 'granted', upstream, priority: 0, preemptionSignal: new AbortController().signal,
		};
	};

	readonly reportEnd = ({request}: TicketEnd): void => {
		const upstream = this.#running.get(request);
		this.#running.delete(request);
		if (upstream !== undefined) {
			this.#baseline.end(upstream);
		}
	};

	readonly withdraw = (): void => {
		// Requests never wait.
	};

	readonly applyDecisions = (): void => {
		// No owner pushes decisions, since none received a request for a grant.
	};

	readonly getCounts = (): {waiting: number; running: number; bytes: number} => ({waiting: 0, running: this.#running.size, bytes: 0});

	readonly stop = (): void => {
		// The client has no timer.
	};
}
