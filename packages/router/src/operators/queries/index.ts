import type {
	Account, HostId, HostState, Incarnation, Member, Milliseconds, UpstreamId, Zone,
} from '@gentianlift/types';

/** Whether the host takes requests, and why not. */
export type Readiness = {ready: boolean; reason?: string};

/** How a host stands, `GET /operator/status`. */
export type HostStatus = {
	host: HostId;
	zone: Zone;
	incarnation: Incarnation;
	state: HostState;
	ready: boolean;
	configurationVersion: number;
	/** False while the host can't tell whether its configuration is the newest. */
	configurationConfirmed: boolean;
	requests: {waiting: number; running: number};
	eventLoopLag: Milliseconds;
};

/** How an upstream stands at a host, in `GET /operator/upstreams`. */
export type UpstreamStatus = {
	id: UpstreamId;
	zone: Zone;
	group: string;
	owner: HostId | undefined;
	standing: string;
	running: number;
	waiting: number;
};

/** What operators may ask of a host. */
export type OperatorQueries = {
	getHealth: () => {healthy: boolean};
	getReadiness: () => Readiness;
	getMetrics: () => string;
	getStatus: () => HostStatus;
	getHosts: () => {hosts: Member[]};
	getUpstreams: () => {upstreams: UpstreamStatus[]};
	/** Throws `unknown-request`. */
	readAccount: (id: string) => Promise<Account>;
};
