import type {Clock, Random} from '@gentianlift/clock';
import type {ConfigurationParser} from '@gentianlift/config';
import type {Metrics} from '@gentianlift/metrics';
import type {
	HostId, KeyValueService, Member, Milliseconds, PeerCalls,
} from '@gentianlift/types';

/** Timeouts and intervals of a follower. */
export type FollowerTimings = {
	/** Time that the key-value service may hold one watch (long poll) open. */
	watchTimeout: Milliseconds;
	/** Time beyond `watchTimeout` after which a watch without a response is abandoned. */
	watchTimeoutMargin: Milliseconds;
	/** Minimum time between the starts of two watches, so that a service that responds at once isn't called in a tight loop. */
	minWatchInterval: Milliseconds;
	/** Timeout of a read of the key-value service. */
	readTimeout: Milliseconds;
	/** Mean time between two polls of the key-value service, counted over all hosts of the fleet. */
	fleetPollInterval: Milliseconds;
	/** Mean time between two anti-entropy exchanges of one host with a random peer. */
	exchangeInterval: Milliseconds;
	/** Delay before a failed call is retried. */
	retryInterval: Milliseconds;
	/** Age of the latest confirmation beyond which the active version is no longer considered the newest. */
	maxConfirmationAge: Milliseconds;
	/** Time without a response from the key-value service or any peer after which the host is considered isolated. */
	isolationTimeout: Milliseconds;
	/** Width per host of the fleet of the random delay before a new version is fetched, so that the hosts don't fetch it all at once. */
	fetchDelayPerHost: Milliseconds;
};

/** Default timings: a version becomes active on every host within two seconds, and within eight seconds when watches fail. */
export const defaultTimings: FollowerTimings = {
	watchTimeout: 5000,
	watchTimeoutMargin: 1000,
	minWatchInterval: 100,
	readTimeout: 3000,
	fleetPollInterval: 1000,
	exchangeInterval: 2000,
	retryInterval: 500,
	maxConfirmationAge: 45_000,
	isolationTimeout: 8000,
	fetchDelayPerHost: 2,
};

/** Dependencies and options of a follower. */
export type FollowerOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	keyValue: Pick<KeyValueService, 'read' | 'watch'>;
	peers: Pick<PeerCalls, 'readConfiguration'>;
	/** Returns the members of the fleet as seen by this host, which may be one of them. */
	getMembers: () => readonly Member[];
	self: HostId;
	parse: ConfigurationParser;
	/** Returns up to `count` hosts that own a key, in order of their rank. */
	getOwners: (key: string, count: number) => readonly HostId[];
	timings?: Partial<FollowerTimings>;
};
