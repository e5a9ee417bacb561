import type {Accounts, ClaimClient} from '@gentianlift/claims';
import type {Clock, Random} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';
import type {GrantClient} from '@gentianlift/scheduler';
import type {
	Account, ConfigurationVersion, CustomerId, HostAnswer, Incarnation, Rank, RequestId, Settings, UpstreamSighting, Zone,
} from '@gentianlift/types';
import type {UpstreamClient} from '@gentianlift/upstream';
import type {UpstreamDirectory} from './upstream-directory.js';
import type {Limits} from './limits.js';
import type {InFlightRequests} from './in-flight-requests.js';

/** What handling a caller's request takes. */
export type HostContext = {
	settings: Settings;
	incarnation: Incarnation;
	clock: Clock;
	random: Random;
	logger: Logger;
	metrics: Metrics;
	createRequestId: () => RequestId;
	/** Configuration in force; undefined until the host has one. */
	getConfiguration: () => ConfigurationVersion | undefined;
	getDirectory: () => UpstreamDirectory;
	getHostAnswer: (zone: Zone | undefined) => HostAnswer;
	/** Account of a request from this host, another host, or its claim. */
	readAccount: (id: RequestId, customer: CustomerId) => Promise<Account | undefined>;
	recordSighting: (sighting: UpstreamSighting) => void;
	/** Lowest rank that the host takes while it is overloaded; undefined for all. */
	getRankLimit: () => Rank | undefined;
	/** Whether callers are asked to go elsewhere with their next request. */
	isDraining: () => boolean;
	inFlightRequests: InFlightRequests;
	grants: GrantClient;
	limits: Limits;
	claims: ClaimClient;
	accounts: Accounts;
	upstreams: UpstreamClient;
};
