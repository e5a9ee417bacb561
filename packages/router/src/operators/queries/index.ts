import type {
	Account, HostId, HostState, Incarnation, Member, Milliseconds, UpstreamId, Zone,
} from '@gentianlift/types';

/** Whether the host is ready for requests, and the reason if it isn't. */
export type Readiness = {ready: boolean; reason?: string};

/** Status of a host, the response to `GET /operator/status`. */
export type HostStatus = {
	host: HostId;
	zone: Zone;
	incarnation: Incarnation;
	state: HostState;
	ready: boolean;
	configurationVersion: number;
	/** False while the host can't determine whether its configuration is the newest. */
	configurationConfirmed: boolean;
	requests: {waiting: number; running: number};
	eventLoopLag: Milliseconds;
};

/** Status of an upstream as seen by a host, in the response to `GET /operator/upstreams`. */
export type UpstreamStatus = {
	id: UpstreamId;
	zone: Zone;
	group: string;
	owner: HostId | undefined;
	standing: string;
	running: number;
	waiting: number;
};

/** Queries that a host answers for operators. */
export type OperatorQueries = {
	getHealth: () => {healthy: boolean};
	getReadiness: () => Readiness;
	getMetrics: () => string;
	getStatus: () => HostStatus;
	getHosts: () => {hosts: Member[]};
	getUpstreams: () => {upstreams: UpstreamStatus[]};
	/** Returns the account of a request; throws `unknown-request` if there is none. */
	readAccount: (id: string) => Promise<Account>;
};
