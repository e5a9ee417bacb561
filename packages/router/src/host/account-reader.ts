import {getClaimAccount, type Accounts, type ClaimClient} from '@gentianlift/claims';
import type {
	Account, CustomerId, HostId, PeerCalls, RequestId,
} from '@gentianlift/types';
import {getRequestOrigin} from '../request-ids.js';
import type {Fleet} from './fleet.js';

/** What reading accounts takes. */
export type AccountReaderOptions = {
	self: HostId;
	accounts: Accounts;
	claims: ClaimClient;
	peers: Pick<PeerCalls, 'readAccount'>;
	fleet: Fleet;
	now: () => number;
};

/** Reads the account of a request from this host, the host that gave its id, or the claim of a booking. */
export type AccountReader = (id: RequestId, customer: CustomerId) => Promise<Account | undefined>;

const createUnknownAccount = (id: RequestId, customer: CustomerId, at: number): Account => ({
	id,
	customer,
	className: '',
	ran: 'unknown',
	state: {kind: 'unknown', reason: 'the host that had the request is gone or no longer remembers it', at},
	attempts: [],
});

/** Creates the reader of accounts. For a plain question whose host is gone it says `unknown`, as nothing of it is kept elsewhere. */
export const createAccountReader = ({
	self, accounts, claims, peers, fleet, now,
}: AccountReaderOptions): AccountReader => async (id, customer) => {
	const localAccount = accounts.getAccount(id);
	const origin = getRequestOrigin(id);
	if (localAccount !== undefined || origin === undefined) {
		return localAccount;
	}

	if (origin.host !== self && !fleet.hasEnded(origin.host, origin.incarnation)) {
		const outcome = await peers.readAccount(origin.host, {request: id});
		if (outcome.kind === 'answered' && outcome.answer.account !== undefined) {
			return outcome.answer.account;
		}
	}

	const claimResult = await claims.readClaimOfRequest(id);
	return claimResult.kind === 'found' ? getClaimAccount(claimResult.claim, fleet.hasEnded) : createUnknownAccount(id, customer, now());
};
