import type {Accounts, ClaimOwner} from '@gentianlift/claims';
import type {ConfigurationFollower} from '@gentianlift/distribution';
import type {PeerHandlers} from '@gentianlift/types';
import type {ModelPlacing} from './place-models.js';
import type {Orderers} from './orderers.js';

/** What answers the calls of other hosts. */
export type PeerHandlersOptions = {
	orderers: Orderers;
	claimOwner: ClaimOwner;
	follower: ConfigurationFollower;
	accounts: Accounts;
	placing: Pick<ModelPlacing, 'getOwnFacts'>;
};

/** Creates the functions that answer the calls of other hosts. */
export const createPeerHandlers = ({orderers, claimOwner, follower, accounts, placing}: PeerHandlersOptions): PeerHandlers => ({
	exchangeGrants: async (from, message) => orderers.groupOwner.handle(from, message),
	async pushGrants(_from, message) {
		orderers.grants.receive(message);
		return {received: true};
	},
	exchangeQuota: async (from, message) => orderers.quotaOwner.handle(from, message),
	claim: claimOwner.claim,
	settleClaim: claimOwner.settle,
	readConfiguration: follower.readConfiguration,
	readPlacementFacts: async () => placing.getOwnFacts(),
	async readAccount(_from, {request}) {
		const account = accounts.getAccount(request);
		return account === undefined ? {} : {account};
	},
});
