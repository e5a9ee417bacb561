import type {Clock, Random} from '@gentianlift/clock';
import type {ConfigurationParse} from '@gentianlift/config';
import type {Metrics} from '@gentianlift/metrics';
import type {
	HostId, KeyValueService, Member, Milliseconds, PeerCalls,
} from '@gentianlift/types';

/** Spans of time of a follower. */
export type FollowerTimes = {
	/** Longest wait of one watch at the service. */
	watchLimit: Milliseconds;
	/** Extra time after which a watch without an answer is taken as silent. */
	watchMargin: Milliseconds;
	/** Least time from the start of a watch to the next, so that a service that answers at once isn't asked without end. */
	watchSpacing: Milliseconds;
	/** Longest wait for a read of the service. */
	readLimit: Milliseconds;
	/** Mean time between two polls of the service by the whole fleet. */
	pollSpacing: Milliseconds;
	/** Mean time between two exchanges of a host with a peer. */
	exchangeInterval: Milliseconds;
	/** Wait before a call that failed is made again. */
	retryInterval: Milliseconds;
	/** Time after which a version that nobody confirmed is no longer held to be the newest. */
	confirmationLimit: Milliseconds;
	/** Time without an answer of the service or any peer after which the host is cut off. */
	isolationLimit: Milliseconds;
	/** Spread of fetches of a new version per host of the fleet, so that not all hosts ask at once. */
	fetchSpread: Milliseconds;
};

/** Times that put a version in force everywhere within two seconds, and within eight when watches fail. */
export const defaultTimes: FollowerTimes = {
	watchLimit: 5000,
	watchMargin: 1000,
	watchSpacing: 100,
	readLimit: 3000,
	pollSpacing: 1000,
	exchangeInterval: 2000,
	retryInterval: 500,
	confirmationLimit: 45_000,
	isolationLimit: 8000,
	fetchSpread: 2,
};

/** What a follower needs. */
export type FollowerOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	keyValue: Pick<KeyValueService, 'read' | 'watch'>;
	peers: Pick<PeerCalls, 'readConfiguration'>;
	/** Hosts of the fleet as this host sees them; it may be among them. */
	getMembers: () => readonly Member[];
	self: HostId;
	parse: ConfigurationParse;
	/** Gets the hosts that own a key, the first-ranked first. */
	getOwners: (key: string, count: number) => readonly HostId[];
	times?: Partial<FollowerTimes>;
};
