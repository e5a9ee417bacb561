import type {Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {Suspects} from '@gentianlift/policy';
import type {
	CacheEvent, ConfigurationVersion, GrantResponse, GrantRequest, GroupId, HostId, EngineLoadReport, UpstreamAvailability, UpstreamId, UpstreamObservation, Zone,
} from '@gentianlift/types';
import type {DecisionSender} from './commands/flush-outbox.js';
import type {GroupOverview} from './queries/overview.js';
import type {Mechanism} from './state.js';

/** Options of an owner of groups. */
export type GroupOwnerOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	self: HostId;
	/** Returns the live hosts, this one included. */
	getHosts: () => ReadonlyArray<{host: HostId; zone: Zone}>;
	/** Returns the host that owns a group in this host's view. */
	getOwnerOf: (group: GroupId) => HostId | undefined;
	/** Sends decisions to a host, this one included. */
	push: DecisionSender;
	/** Mechanisms that are switched off. */
	disabledMechanisms?: readonly Mechanism[];
};

/**
 * Grants upstream slots to the requests for the groups that this host owns.
 * It also acts for groups of other owners, in degraded mode: the group's owner can't be reached, so this host grants
 * its own share of the slots, the same for each live host, to its own requests.
 */
export type GroupOwner = {
	/** Handles a batch of a host. */
	handle: (from: HostId, message: GrantRequest) => GrantResponse;
	/** Handles this host's own batch for a group whose owner can't be reached. */
	handleDegraded: (message: GrantRequest) => GrantResponse;
	/** Applies a new configuration to all groups. */
	applyConfiguration: (version: ConfigurationVersion) => void;
	/** Records the latest load report of an upstream, and grants slots that it shows to be free. */
	applyLoadReport: (upstream: UpstreamId, report: EngineLoadReport) => void;
	/** Records that a host has seen an upstream leave or crash; other kinds have no effect here. */
	applyObservation: (observation: UpstreamObservation) => void;
	/** Records the availability of an upstream. */
	applyAvailability: (upstream: UpstreamId, availability: UpstreamAvailability) => void;
	/** Records prefixes that an upstream has stored in its cache or evicted from it. */
	applyCacheEvents: (upstream: UpstreamId, events: readonly CacheEvent[]) => void;
	/** Returns the requests suspected of crashing upstreams, by fingerprint. */
	getSuspects: () => Suspects;
	/** Merges in the suspects that other hosts found. */
	mergeSuspects: (suspects: Suspects) => void;
	/** Returns the overviews of the groups that this host owns and has state of. */
	getOverview: () => GroupOverview[];
	stop: () => void;
};
