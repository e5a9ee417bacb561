import type {
	Address, HostId, HostState, Milliseconds, Settings, Zone,
} from '@gentianlift/types';

/** Settings of a node that a process runs. */
export type NodeSettings = {host: HostId; zone: Zone; gossipAddress: Address};

/** Command to a process that runs nodes. */
export type ProcessCommand
	= | {kind: 'start'; nodes: NodeSettings[]; seeds: Settings['seeds']; seed: number}
		/** Starts the time span over which costs are measured. */
		| {kind: 'begin'}
		/** Ends the time span and requests its costs. */
		| {kind: 'end'}
		/** Stops a node without notifying the others, as a crash does. */
		| {kind: 'kill'; host: HostId}
		/** Requests the number of hosts seen as alive. */
		| {kind: 'count'};

/** Total costs of all nodes of one process over a time span, where not said otherwise. */
export type ProcessCost = {
	nodes: number;
	/** Processor time in microseconds. */
	processor: number;
	/** Bytes sent and received, including UDP and IP headers. */
	bytesSent: number;
	bytesReceived: number;
	/** Growth of the heap since before the nodes started, in bytes, after garbage collection. */
	heap: number;
	/** Bytes sent and received by the node with the most traffic. */
	mostBytes: number;
};

/** Reply to a command, or a report that a process sends unasked. */
export type ProcessReport
	= | {kind: 'ready'}
		| {kind: 'started'}
		| {kind: 'begun'}
		| {kind: 'cost'; cost: ProcessCost}
		/** Smallest number of hosts that any node of the process sees as alive. */
		| {kind: 'counted'; fewest: number}
		| {kind: 'killed'}
		/** Node `viewer` sees another host in a new state; `at` is a wall-clock time. */
		| {kind: 'changed'; viewer: HostId; host: HostId; state: HostState; at: Milliseconds};
