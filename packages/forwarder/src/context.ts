import type {Clock, Random} from '@gentianlift/clock';
import type {FleetView, LoadReportExchange, StreamOriginClient} from '@gentianlift/discovery';
import type {Duties} from '@gentianlift/duties';
import type {Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';
import type {
	CrashSuspects, SuspectId, RetryLimit, StreamOrigins, VersionHistory,
} from '@gentianlift/routing';
import type {
	Address, HostId, Milliseconds, Zone,
} from '@gentianlift/types';
import type {UsageCounter} from '@gentianlift/usage';
import type {CrashDetector} from './crashes/crash-detector.js';
import type {FragileUpstreams} from './statements/fragile-upstreams.js';
import type {HostAgents} from './send/host-agents.js';
import type {BodyBudget} from './memory/body-budget.js';
import type {MemoryBudget} from './memory/memory-budget.js';
import type {Protocol} from './protocol.js';
import type {UpstreamLinks} from './links/upstream-links.js';
import type {UpstreamLimits} from './statements/upstream-limits.js';
import type {UpstreamRests} from './statements/upstream-rests.js';
import type {UpstreamTracker} from './queue/upstream-tracker.js';
import type {ViewFreshness} from './resume/view-freshness.js';

/** Dependencies shared by the modules of the forwarder. */
export type ForwarderContext = {
	clock: Clock;
	random: Random;
	logger: Logger;
	metrics: Metrics;
	protocol: Protocol;
	host: HostId;
	zone: Zone;
	view: FleetView;
	freshness: ViewFreshness;
	/** Exchange of load reports and events with the other hosts. */
	reportExchange: LoadReportExchange;
	tracker: UpstreamTracker;
	/** Limits on requests that upstreams have named. */
	limits: UpstreamLimits;
	/** Rests that upstreams have asked for. */
	rests: UpstreamRests;
	/** Upstreams that bear few rejections. */
	fragileUpstreams: FragileUpstreams;
	/** This host's links to the upstreams. */
	links: UpstreamLinks;
	/** Connections for calls that are forwarded to other hosts. */
	hostAgents: HostAgents;
	/** Returns the addresses at which other hosts take forwarded calls. */
	getHostAddresses: () => Address[];
	/** Limit on the bytes of answers that this host holds. */
	memory: MemoryBudget;
	/** Limit on the bytes of request bodies that this host holds. */
	bodies: BodyBudget;
	/** Most memory, in bytes, that requests may take which wait for those before them on their connections. */
	maxWaitingBytes: number;
	/** What may crash the upstreams that run it. */
	suspects: CrashSuspects;
	crashDetector: CrashDetector;
	/** Services and software versions that began the streams of the fleet. */
	streamOrigins: StreamOrigins;
	/** Software versions that have served lately. */
	versions: VersionHistory;
	/** Asks other hosts for the origin of a stream. */
	askForStreamOrigin: StreamOriginClient['find'];
	/** Limit on retries; updated in place when the settings are reloaded. */
	retryLimit: RetryLimit;
	/** Returns the number of hosts that share fleet-wide limits, including this one. */
	countHosts: () => number;
	/** Whether this host is the one of the fleet that tries requests of a blocked suspect. */
	isTrialHost: (suspect: SuspectId) => boolean;
	/** Counts the requests that begin to run; absent if the usage of the fleet isn't reported. */
	usage?: UsageCounter | undefined;
	/** Duties of the fleet; absent if there are none. */
	duties?: Duties | undefined;
	/** Whether the host is in a graceful shutdown. */
	isStopping: () => boolean;
	/** Returns for how long the host has been in a graceful shutdown; undefined if it isn't. */
	getTimeSinceStop: () => Milliseconds | undefined;
	/** Returns when the host ends the requests that it still has, as it is in a graceful shutdown; infinity if it isn't. */
	getServingEnd: () => Milliseconds;
	/** Whether the host accepts a request that may last for `timeout`. */
	canAccept: (timeout: Milliseconds) => boolean;
};
