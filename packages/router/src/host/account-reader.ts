import {getClaimAccount, type Accounts, type ClaimClient} from '@gentianlift/claims';
import type {
	Account, CustomerId, HostId, PeerCalls, RequestId,
} from '@gentianlift/types';
import {getRequestOrigin} from '../request-ids.js';
import type {Fleet} from './fleet.js';

/** Dependencies of an account reader. */
export type AccountReaderOptions = {
	self: HostId;
	accounts: Accounts;
	claims: ClaimClient;
	peers: Pick<PeerCalls, 'readAccount'>;
	fleet: Fleet;
	now: () => number;
};

/** Reads the account of a request from this host, from the host that issued its id, or from the claim of a non-idempotent request. */
export type AccountReader = (id: RequestId, customer: CustomerId) => Promise<Account | undefined>;

const createUnknownAccount = (id: RequestId, customer: CustomerId, at: number): Account => ({
	id,
	customer,
	className: '',
	ran: 'unknown',
	state: {kind: 'unknown', reason: 'the host that had the request is gone or no longer remembers it', at},
	attempts: [],
});

/** Creates an account reader. For an idempotent request whose host is gone it returns a run state of `unknown`, because its account is stored on that host only. */
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

	const claimResult = await claims.readClaimByRequestId(id);
	return claimResult.kind === 'found' ? getClaimAccount(claimResult.claim, fleet.hasEnded) : createUnknownAccount(id, customer, now());
};
