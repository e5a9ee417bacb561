import type {Random} from '@gentianlift/clock';
import type {Address, Milliseconds} from '@gentianlift/types';
import type {
	BoundArrival, Call, Exchange, RequestKind, Execution,
} from './guarantees.js';
import type {DutyCall} from './duty-guarantees.js';
import type {Command} from './host-process.js';
import type {OddBodies} from './odd-bodies.js';
import type {StoreFailureMode, UpstreamFailureMode} from './schedule.js';

/** A fake of the key-value service. */
export type FakeStore = {
	address: Address;
	put: (key: string, value: string) => void;
	remove: (key: string) => void;
	/** Starts a failure mode in place of the current one; undefined ends it. */
	setFailureMode: (mode: StoreFailureMode | undefined) => void;
	close: () => void;
};

/** A fake of the operators' service, which takes the calls for duties. */
export type FakeOperators = {address: Address; close: () => void};

/** Options of a fake of the operators' service. */
export type FakeOperatorsOptions = {
	ip: string;
	/** Draws how each call fails. */
	random: Random;
	/** Called with each call; `at` is 0, the receiver sets it. */
	onDutyCall: (call: DutyCall) => void;
};

/** A fake of an upstream, which maintains its own entry in the key-value service. */
export type FakeUpstream = {
	/** Starts a failure mode in place of the current one; undefined ends it. */
	setFailureMode: (mode: UpstreamFailureMode | undefined) => void;
	close: () => void;
};

/** Options of a fake upstream. */
export type FakeUpstreamOptions = {
	/** Service that the upstream belongs to. */
	service: string;
	name: string;
	ip: string;
	store: FakeStore;
	/** Called when the upstream begins to execute a request; `at` is 0, the receiver sets it. */
	onExecute: (execution: Execution) => void;
	/** Called when the upstream crashes on a part of a prompt. */
	onPartCrash: (part: string) => void;
	/** Called with each request that arrives while the upstream names a limit; `episode` tells the times apart in which it does. */
	onLimitedArrival: (episode: string) => void;
	/** Called with each request that arrives while the upstream asks for rest or says that it leaves. */
	onBoundArrival: (arrival: Pick<BoundArrival, 'kind' | 'episode' | 'attempt'>) => void;
	/** Called when the upstream stops or resumes to listen. */
	onListening: (isListening: boolean) => void;
	/** Opens a link to the address on which the upstream listens; returns the address that hosts connect to. */
	openLink: (address: Address) => Promise<Address>;
};

/** Which of a host's own links stands for which upstream: the addresses of both are numbered in the same order, by their last octets. */
export type LinkAddresses = {
	/** First three octets. */
	network: string;
	firstUpstream: number;
	count: number;
	firstLink: number;
};

/** Options of a host's process. */
export type HostOptions = {
	name: string;
	ip: string;
	zone: string;
	/** Address of the link through which this host reaches the key-value service. */
	store: Address;
	/** Address of the operators' service; without it, the host takes part in no duties. */
	operators?: Address | undefined;
	/** IP addresses of the hosts through which this host joins the fleet. */
	knownPeers: string[];
	/** Time that the host has for a graceful shutdown. */
	grace: Milliseconds;
	/** Resident memory that the host may have, in megabytes; its settings name it. */
	memory: number;
	/** Open descriptors that the settings allow the process; not named if absent. */
	descriptors?: number;
	/** Addresses of the upstreams, and of the links that the host connects to in their place. */
	links: LinkAddresses;
	/** Directory for settings and logs. */
	folder: string;
	/** Program of an earlier build that the host runs; undefined for that of this one. */
	program?: string | undefined;
};

/** Endpoints of a host whose addresses a foreign socket may hold when the host starts. */
export const hostEndpoints = ['readiness', 'metrics'] as const;
/** One of `hostEndpoints`. */
export type HostEndpoint = typeof hostEndpoints[number];

/** A request that a caller sends. */
export type CallOptions = {
	/** Unique id of the request. */
	attempt: string;
	kind: RequestKind;
	/** Address on which the host listens for callers. */
	address: Address;
	/** Time after which the caller gives up. */
	timeout: Milliseconds;
	/** Part of the prompt that other requests share, beside the usual ones. */
	part?: string;
	/** Returns the address at which to resume a stream that broke. */
	pickAddress: () => Address | undefined;
};

/** A request as it was sent to an address. */
export type SentRequest = Omit<Exchange, 'host'> & {address: Address};

/** What a caller received. */
export type CallResult = Pick<Call, 'outcome' | 'versions'> & {requests: readonly SentRequest[]};

/** Client of the hosts that keeps its connections open. */
export type Callers = {
	send: (call: CallOptions) => Promise<CallResult>;
	/** Returns the status of the answer on the route that exists only in this version of the configuration; undefined without an answer. */
	probe: (address: Address, version: number) => Promise<number | undefined>;
	/** Returns the addresses of hosts that a host tells callers to connect to; empty without an answer. */
	resolve: (hostIp: string) => Promise<Address[]>;
	/** Starts callers that send odd bodies to a host; returns a function that ends them. `attempt` is the prefix of their requests' ids. */
	sendOddBodies: (address: Address, bodies: OddBodies, attempt: string) => () => void;
	close: () => void;
};

/** The parts of a soak that depend on the deployment's protocols: fakes, settings, the command that runs a host, and callers. */
export type Deployment = {
	/** Service that runs each kind of request. */
	services: Record<RequestKind, string>;
	startStore: (ip: string) => Promise<FakeStore>;
	startOperators: (options: FakeOperatorsOptions) => Promise<FakeOperators>;
	/** Writes this version of the configuration into the key-value service. */
	configure: (store: FakeStore, version: number) => void;
	startUpstream: (options: FakeUpstreamOptions) => Promise<FakeUpstream>;
	/** Writes the host's settings file, also again while the host runs. */
	writeSettings: (options: HostOptions) => void;
	getCommand: (options: HostOptions) => Command;
	/** Returns the address on which the host with this IP address listens for callers. */
	getCallerAddress: (hostIp: string) => Address;
	getEndpointAddress: (hostIp: string, endpoint: HostEndpoint) => Address;
	/** Creates the client that all callers of a run share. */
	createCallers: () => Callers;
};
