import type {Clock} from '@gentianlift/clock';
import type {Account, ClassifiedRequest, RequestId} from '@gentianlift/types';
import {applyAccountEvent, type AccountEvent} from './account-event.js';

/** Accounts of the recent requests of this host. The account of a request tells its state, whether it ran, and its attempts. */
export type Accounts = {
	/** Adds the account of a request, in the waiting state. */
	open: (request: ClassifiedRequest) => void;
	/** Applies an event to the account of its request; ignored if there is none. */
	apply: (event: AccountEvent) => void;
	getAccount: (id: RequestId) => Account | undefined;
};

/** Dependencies and options of accounts; `capacity` is the number of accounts above which ended ones are evicted. */
export type AccountsOptions = {clock: Clock; capacity: number};

const activeStates = new Set<Account['state']['kind']>(['waiting', 'running']);

/** Creates the accounts of a host. Above the capacity, the oldest account that has ended is evicted; those of active requests are kept. */
export const createAccounts = ({clock, capacity}: AccountsOptions): Accounts => {
	const accounts = new Map<RequestId, Account>();

	const evictEnded = (): void => {
		for (const [id, {state}] of accounts) {
			if (accounts.size <= capacity) {
				return;
			}

			if (!activeStates.has(state.kind)) {
				accounts.delete(id);
			}
		}
	};

	return {
		open(request) {
			accounts.set(request.id, {
				id: request.id,
				customer: request.customer,
				className: request.className,
				ran: 'not-run',
				state: {kind: 'waiting', since: request.arrivedAt},
				attempts: [],
			});
			evictEnded();
		},
		apply(event) {
			const account = accounts.get(event.request);
			if (account !== undefined) {
				accounts.set(event.request, applyAccountEvent(account, event, clock.now()));
			}
		},
		getAccount: id => accounts.get(id),
	};
};
