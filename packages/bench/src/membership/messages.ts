import type {
	Address, HostId, HostState, Milliseconds, Settings, Zone,
} from '@gentianlift/types';

/** A node to run in a process of the measurement. */
export type NodeSettings = {host: HostId; zone: Zone; gossipAddress: Address};

/** What the measurement asks of a process. */
export type Order
	= | {kind: 'start'; nodes: NodeSettings[]; seeds: Settings['seeds']; seed: number}
		/** Starts a span in which costs are counted. */
		| {kind: 'begin'}
		/** Ends the span. */
		| {kind: 'end'}
		/** Ends a node without a word. */
		| {kind: 'kill'; host: HostId}
		| {kind: 'count'};

/** Costs of all nodes of one process over a span. */
export type Cost = {
	nodes: number;
	/** Processor time, in microseconds. */
	processor: number;
	/** Bytes with the headers of UDP and IP. */
	bytesSent: number;
	bytesReceived: number;
	/** Heap after a collection, in bytes, less that before the nodes started. */
	heap: number;
	/** Bytes sent and received by the node with the most. */
	mostBytes: number;
};

/** What a process answers or reports. */
export type Report
	= | {kind: 'ready'}
		| {kind: 'started'}
		| {kind: 'begun'}
		| {kind: 'cost'; cost: Cost}
		/** Hosts that the node with the fewest sees as alive. */
		| {kind: 'counted'; fewest: number}
		| {kind: 'killed'}
		/** A node sees another in a new state, at a moment of the machine's clock. */
		| {kind: 'changed'; viewer: HostId; host: HostId; state: HostState; at: Milliseconds};
