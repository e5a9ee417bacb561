import type {
	Address, HostId, Incarnation, Milliseconds, Zone,
} from './ids.js';

/** How a host stands in the view of another. */
export const hostStates = ['alive', 'suspected', 'draining', 'gone'] as const;
/** One of `hostStates`. */
export type HostState = typeof hostStates[number];

/** One host as the members see it. */
export type Member = {
	host: HostId;
	incarnation: Incarnation;
	zone: Zone;
	/** Where callers connect. */
	callerAddress: Address;
	/** Where the other hosts connect over TCP, for typed calls. */
	peerAddress: Address;
	/** Where membership messages arrive over UDP. */
	gossipAddress: Address;
	state: HostState;
	/** Newest configuration version in force at the host. */
	configurationVersion: number;
	/** How full the host is, from 0 to 1. */
	load: number;
};

/** A host as the platform's host list has it; the list lags. */
export type ListedHost = {
	id: string;
	kind: 'entry' | 'upstream';
	address: Address;
	zone: Zone;
	state: 'live' | 'leaving';
};

/** The port to the platform's host list. */
export type HostList = {
	/** Undefined when the list can't be read. */
	readHosts: () => Promise<ListedHost[] | undefined>;
};

/** The port to the weight store. */
export type WeightStore = {
	/** Bytes a second that all loads share, and the bytes under way; undefined when the store can't be read. */
	readRate: () => Promise<{bytesPerSecond: number; bytesUnderWay: number} | undefined>;
};

/** Address list for callers, `GET /v1/hosts`. */
export type HostAnswer = {
	hosts: Array<{host: HostId; address: Address; zone: Zone; weight: number}>;
	/** How long the caller may keep the answer. */
	timeToLive: Milliseconds;
};
