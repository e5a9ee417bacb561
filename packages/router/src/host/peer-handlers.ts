import type {Accounts, ClaimStore} from '@gentianlift/claims';
import type {ConfigurationFollower} from '@gentianlift/distribution';
import type {PeerHandlers} from '@gentianlift/types';
import type {ModelPlacement} from './model-placement.js';
import type {Scheduling} from './scheduling.js';

/** Dependencies of the handlers of peer calls. */
export type PeerHandlersOptions = {
	scheduling: Scheduling;
	claimStore: ClaimStore;
	follower: ConfigurationFollower;
	accounts: Accounts;
	modelPlacement: Pick<ModelPlacement, 'getOwnFacts'>;
};

/** Creates the handlers of calls from other hosts. */
export const createPeerHandlers = ({scheduling, claimStore, follower, accounts, modelPlacement}: PeerHandlersOptions): PeerHandlers => ({
	exchangeGrants: async (from, message) => scheduling.groupOwner.handle(from, message),
	async pushGrants(_from, message) {
		scheduling.grants.applyDecisions(message);
		return {received: true};
	},
	exchangeQuota: async (from, message) => scheduling.quotaOwner.handle(from, message),
	claim: claimStore.claim,
	settleClaim: claimStore.settle,
	readConfiguration: follower.readConfiguration,
	readPlacementFacts: async () => modelPlacement.getOwnFacts(),
	async readAccount(_from, {request}) {
		const account = accounts.getAccount(request);
		return account === undefined ? {} : {account};
	},
});
