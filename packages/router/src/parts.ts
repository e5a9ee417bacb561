import type {Accounts, ClaimClient} from '@gentianlift/claims';
import type {Clock, Random} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';
import type {GrantClient} from '@gentianlift/scheduler';
import type {
	Account, ConfigurationVersion, CustomerId, HostAnswer, Incarnation, Rank, RequestId, Settings, UpstreamSighting, Zone,
} from '@gentianlift/types';
import type {UpstreamClient} from '@gentianlift/upstream';
import type {Directory} from './directory.js';
import type {Limits} from './limits.js';
import type {OpenRequests} from './open-requests.js';

/** What handling a caller's request takes. */
export type HostParts = {
	settings: Settings;
	incarnation: Incarnation;
	clock: Clock;
	random: Random;
	logger: Logger;
	metrics: Metrics;
	createRequestId: () => RequestId;
	/** Configuration in force; undefined until the host has one. */
	getConfiguration: () => ConfigurationVersion | undefined;
	getDirectory: () => Directory;
	getHostAnswer: (zone: Zone | undefined) => HostAnswer;
	/** Account of a request from this host, another host, or its claim. */
	readAccount: (id: RequestId, customer: CustomerId) => Promise<Account | undefined>;
	recordSighting: (sighting: UpstreamSighting) => void;
	/** Lowest rank that the host takes while it is overloaded; undefined for all. */
	getRankLimit: () => Rank | undefined;
	/** Whether callers are asked to go elsewhere with their next request. */
	isDraining: () => boolean;
	open: OpenRequests;
	grants: GrantClient;
	limits: Limits;
	claims: ClaimClient;
	accounts: Accounts;
	upstreams: UpstreamClient;
};
