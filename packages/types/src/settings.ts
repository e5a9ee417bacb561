import {
	type Address, type HostId, type Zone, type Milliseconds,
} from './ids.js';

/** Bounds on what a caller may send and on how long it may take. */
export type CallerLimits = {
	headerBytes: number;
	bodyBytes: number;
	headerTimeout: Milliseconds;
	bodyTimeout: Milliseconds;
	/** Connections open at once. */
	connections: number;
};

/** Silence after which a connection is taken as lost, per leg. */
export type SilenceLimits = {
	caller: Milliseconds;
	/** Up to the first token. */
	firstToken: Milliseconds;
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
	/** Peer and gossip addresses of some hosts to find the others through. */
	seeds: Array<{host: HostId; peerAddress: Address; gossipAddress: Address}>;
	keyValueUrl: string;
	hostListUrl: string;
	weightStoreUrl: string;
	logLevel: 'trace' | 'debug' | 'info' | 'warn' | 'error';
	/** How long callers may keep an answer of `GET /v1/hosts`. */
	addressTimeToLive: Milliseconds;
	callerLimits: CallerLimits;
	silenceLimits: SilenceLimits;
	/** Seed of random choices; drawn from the clock when absent. */
	seed?: number;
	/** Way of ordering work; the baselines are for measurements. */
	order: 'policy' | 'first-in-first-out' | 'least-outstanding';
	/** Mechanisms switched off for ablation measurements. */
	without: string[];
};
