import type {
	Address, HostId, Incarnation, Milliseconds, Zone,
} from './ids.js';

/** States of a host in the membership view of another. */
export const hostStates = ['alive', 'suspected', 'draining', 'gone'] as const;
/** One of `hostStates`. */
export type HostState = typeof hostStates[number];

/** A host in the membership view. */
export type Member = {
	host: HostId;
	incarnation: Incarnation;
	zone: Zone;
	/** Address for callers. */
	callerAddress: Address;
	/** TCP address for calls from other hosts. */
	peerAddress: Address;
	/** UDP address for membership messages. */
	gossipAddress: Address;
	state: HostState;
	/** Version of the configuration that the host applies. */
	configurationVersion: number;
	/** Load of the host, from 0 (idle) to 1 (full). */
	load: number;
};

/** An entry of the platform's host list, which lags behind the actual state. */
export type ListedHost = {
	id: string;
	kind: 'entry' | 'upstream';
	address: Address;
	zone: Zone;
	state: 'live' | 'leaving';
};

/** Port of the platform's host list. */
export type HostList = {
	/** Reads all entries; undefined if the list can't be read. */
	readHosts: () => Promise<ListedHost[] | undefined>;
};

/** Port of the store from which engines load model weights. */
export type WeightStore = {
	/** Reads the bandwidth that all downloads share, in bytes per second, and the bytes of the downloads in progress; undefined if the store can't be read. */
	readBandwidth: () => Promise<{bytesPerSecond: number; bytesUnderWay: number} | undefined>;
};

/** List of host addresses for callers, the response of `GET /v1/hosts`. */
export type HostListResponse = {
	hosts: Array<{host: HostId; address: Address; zone: Zone; weight: number}>;
	/** Time for which the caller may cache the response. */
	timeToLive: Milliseconds;
};
