import type {Clock} from '@gentianlift/clock';
import type {Account, ClassifiedRequest, RequestId} from '@gentianlift/types';
import {applyAccountEvent, type AccountEvent} from './account-event.js';

/** Accounts of the requests that came to this host lately. */
export type Accounts = {
	/** Starts the account of a request as waiting. */
	open: (request: ClassifiedRequest) => void;
	/** Applies an event; without effect for a request that isn't known. */
	apply: (event: AccountEvent) => void;
	getAccount: (id: RequestId) => Account | undefined;
};

/** What the accounts need; `capacity` is the number of requests remembered. */
export type AccountsOptions = {clock: Clock; capacity: number};

const openStates = new Set<Account['state']['kind']>(['waiting', 'running']);

/** Creates the accounts of a host. Past the capacity the oldest that has ended is forgotten. */
export const createAccounts = ({clock, capacity}: AccountsOptions): Accounts => {
	const accounts = new Map<RequestId, Account>();

	const forgetEnded = (): void => {
		for (const [id, {state}] of accounts) {
			if (accounts.size <= capacity) {
				return;
			}

			if (!openStates.has(state.kind)) {
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
			forgetEnded();
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
