import {
	type Address, type HostId, type Zone, type Milliseconds,
} from './ids.js';

/** Limits on the size of a caller's request, on the time to receive it and on connections. */
export type CallerLimits = {
	headerBytes: number;
	bodyBytes: number;
	headerTimeout: Milliseconds;
	bodyTimeout: Milliseconds;
	/** Maximum number of open connections. */
	connections: number;
};

/** Silence timeouts by the other end of the connection: time without any data after which a connection counts as lost. */
export type SilenceTimeouts = {
	caller: Milliseconds;
	/** For an engine's response, until its first token. */
	firstToken: Milliseconds;
	/** For an engine's response, after its first token. */
	betweenTokens: Milliseconds;
	service: Milliseconds;
	peer: Milliseconds;
	platform: Milliseconds;
	watch: Milliseconds;
};

/** Settings of one router process. */
export type Settings = {
	host: HostId;
	zone: Zone;
	callerAddress: Address;
	operatorAddress: Address;
	peerAddress: Address;
	gossipAddress: Address;
	/** Keys that authenticate messages between hosts: the first signs, any is accepted. */
	peerKeys: string[];
	/** Hosts from which a starting host learns of the others. */
	seeds: Array<{host: HostId; peerAddress: Address; gossipAddress: Address}>;
	keyValueUrl: string;
	hostListUrl: string;
	weightStoreUrl: string;
	logLevel: 'trace' | 'debug' | 'info' | 'warn' | 'error';
	/** Time for which callers may cache a response of `GET /v1/hosts`. */
	addressTimeToLive: Milliseconds;
	/** Time from the signal to stop until the process is killed; if absent, a host that stops waits for its last request. */
	gracePeriod?: Milliseconds;
	callerLimits: CallerLimits;
	silenceLimits: SilenceTimeouts;
	/** Seed of the random number generator; derived from the clock if absent. */
	seed?: number;
	/** How queued requests are ordered; `first-in-first-out` and `least-outstanding` are baselines for measurements. */
	order: 'policy' | 'first-in-first-out' | 'least-outstanding';
	/** Names of mechanisms that are switched off, for measurements with one mechanism switched off. */
	without: string[];
};
