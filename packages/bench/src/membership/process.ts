import process from 'node:process';
import {createRandom, createSystemClock} from '@gentianlift/clock';
import {
	createMembership, createUdpTransport, type Membership, type Transport,
} from '@gentianlift/membership';
import {createMetrics, type Metrics} from '@gentianlift/metrics';
import type {
	Cost, NodeSettings, Order, Report,
} from './messages.js';

type Node = {settings: NodeSettings; membership: Membership; metrics: Metrics; transport: Transport};
type Totals = Pick<Cost, 'bytesSent' | 'bytesReceived'>;

const clock = createSystemClock();
const nodes = new Map<string, Node>();
const begun = new Map<string, Totals>();
let processorAt = process.cpuUsage();
let heapBefore = 0;

const report = (message: Report): void => {
	process.send?.(message);
};

const readHeap = (): number => {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
};

const getTotals = ({metrics}: Node): Totals => ({
	bytesSent: metrics.getValue('membership_bytes_sent'), bytesReceived: metrics.getValue('membership_bytes_received'),
});

const startNode = async (settings: NodeSettings, order: Extract<Order, {kind: 'start'}>, index: number): Promise<void> => {
	const metrics = createMetrics();
	const transport = createUdpTransport(settings.gossipAddress);
	const membership = createMembership({
		clock,
		random: createRandom(order.seed + index),
		metrics,
		self: {
			...settings, incarnation: clock.now(), callerAddress: settings.gossipAddress, peerAddress: settings.gossipAddress,
		},
		seeds: order.seeds,
		keys: ['a-key-of-the-measurement'],
		transport,
	});
	membership.onChange(({after}) => {
		report({
			kind: 'changed', viewer: settings.host, host: after.host, state: after.state, at: clock.now(),
		});
	});
	await membership.start();
	nodes.set(settings.host, {
		settings, membership, metrics, transport,
	});
};

const getCost = (): Cost => {
	const {user, system} = process.cpuUsage(processorAt);
	const spans = [...nodes.values()].map(node => {
		const [now, before] = [getTotals(node), begun.get(node.settings.host)];
		return {sent: now.bytesSent - (before?.bytesSent ?? 0), received: now.bytesReceived - (before?.bytesReceived ?? 0)};
	});
	return {
		nodes: nodes.size,
		processor: user + system,
		bytesSent: spans.reduce((sum, {sent}) => sum + sent, 0),
		bytesReceived: spans.reduce((sum, {received}) => sum + received, 0),
		heap: readHeap() - heapBefore,
		mostBytes: Math.max(...spans.map(({sent, received}) => sent + received)),
	};
};

const begin = (): void => {
	for (const [host, node] of nodes) {
		begun.set(host, getTotals(node));
	}

	processorAt = process.cpuUsage();
};

const countAlive = ({membership}: Node): number => membership.getMembers().filter(({state}) => state === 'alive').length;

const carryOut = async (order: Order): Promise<void> => {
	switch (order.kind) {
		case 'start': {
			heapBefore = readHeap();
			await Promise.all(order.nodes.map(async (settings, index) => startNode(settings, order, index)));
			report({kind: 'started'});
			break;
		}

		case 'begin': {
			begin();
			report({kind: 'begun'});
			break;
		}

		case 'end': {
			report({kind: 'cost', cost: getCost()});
			break;
		}

		case 'kill': {
			nodes.get(order.host)?.transport.stop();
			nodes.delete(order.host);
			report({kind: 'killed'});
			break;
		}

		case 'count': {
			report({kind: 'counted', fewest: Math.min(...[...nodes.values()].map(node => countAlive(node)))});
			break;
		}
	}
};

process.on('message', (order: Order) => {
	void carryOut(order);
});
report({kind: 'ready'});
