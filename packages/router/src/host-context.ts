import type {Accounts, ClaimClient} from '@gentianlift/claims';
import type {Clock, Random} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';
import type {GrantClient} from '@gentianlift/scheduler';
import type {
	Account, ConfigurationVersion, CustomerId, HostListResponse, Incarnation, Rank, RequestId, Settings, UpstreamObservation, Zone,
} from '@gentianlift/types';
import type {UpstreamClient} from '@gentianlift/upstream';
import type {UpstreamDirectory} from './upstream-directory.js';
import type {Limits} from './limits.js';
import type {InFlightRequests} from './in-flight-requests.js';

/** Dependencies of the code that handles callers' requests. */
export type HostContext = {
	settings: Settings;
	incarnation: Incarnation;
	clock: Clock;
	random: Random;
	logger: Logger;
	metrics: Metrics;
	createRequestId: () => RequestId;
	/** Returns the current configuration; undefined while the host has none, or is cut off from the key-value service and all other hosts. */
	getConfiguration: () => ConfigurationVersion | undefined;
	getDirectory: () => UpstreamDirectory;
	getHostListResponse: (zone: Zone | undefined) => HostListResponse;
	/** Reads the account of a request from this host, another host or its claim. */
	readAccount: (id: RequestId, customer: CustomerId) => Promise<Account | undefined>;
	recordObservation: (observation: UpstreamObservation) => void;
	/** Returns the rank of the lowest tier that the host admits while it is overloaded; undefined if it admits all. */
	getRankLimit: () => Rank | undefined;
	/** Whether the host refuses new requests, because it ends once those in flight have ended. */
	isStopping: () => boolean;
	inFlightRequests: InFlightRequests;
	grants: GrantClient;
	limits: Limits;
	claims: ClaimClient;
	accounts: Accounts;
	upstreams: UpstreamClient;
};
