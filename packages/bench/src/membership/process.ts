import process from 'node:process';
import {createRandom, createSystemClock} from '@gentianlift/clock';
import {
	createMembership, createUdpTransport, type Membership, type Transport,
} from '@gentianlift/membership';
import {createMetrics, type Metrics} from '@gentianlift/metrics';
import type {
	ProcessCost, NodeSettings, ProcessCommand, ProcessReport,
} from './messages.js';

type Node = {settings: NodeSettings; membership: Membership; metrics: Metrics; transport: Transport};
type ByteTotals = Pick<ProcessCost, 'bytesSent' | 'bytesReceived'>;

const clock = createSystemClock();
const nodes = new Map<string, Node>();
const totalsAtBegin = new Map<string, ByteTotals>();
let cpuUsageAtBegin = process.cpuUsage();
let heapBeforeStart = 0;

const sendReport = (message: ProcessReport): void => {
	process.send?.(message);
};

const measureHeap = (): number => {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
};

const getTotals = ({metrics}: Node): ByteTotals => ({
	bytesSent: metrics.getValue('membership_bytes_sent'), bytesReceived: metrics.getValue('membership_bytes_received'),
});

const startNode = async (settings: NodeSettings, command: Extract<ProcessCommand, {kind: 'start'}>, index: number): Promise<void> => {
	const metrics = createMetrics();
	const transport = createUdpTransport(settings.gossipAddress);
	const membership = createMembership({
		clock,
		random: createRandom(command.seed + index),
		metrics,
		self: {
			...settings, incarnation: clock.now(), callerAddress: settings.gossipAddress, peerAddress: settings.gossipAddress,
		},
		seeds: command.seeds,
		keys: ['a-key-of-the-measurement'],
		transport,
	});
	membership.onChange(({after}) => {
		sendReport({
			kind: 'changed', viewer: settings.host, host: after.host, state: after.state, at: clock.now(),
		});
	});
	await membership.start();
	nodes.set(settings.host, {
		settings, membership, metrics, transport,
	});
};

const getCost = (): ProcessCost => {
	const {user, system} = process.cpuUsage(cpuUsageAtBegin);
	const byteCounts = [...nodes.values()].map(node => {
		const [now, before] = [getTotals(node), totalsAtBegin.get(node.settings.host)];
		return {sent: now.bytesSent - (before?.bytesSent ?? 0), received: now.bytesReceived - (before?.bytesReceived ?? 0)};
	});
	return {
		nodes: nodes.size,
		processor: user + system,
		bytesSent: byteCounts.reduce((sum, {sent}) => sum + sent, 0),
		bytesReceived: byteCounts.reduce((sum, {received}) => sum + received, 0),
		heap: measureHeap() - heapBeforeStart,
		mostBytes: Math.max(...byteCounts.map(({sent, received}) => sent + received)),
	};
};

const beginMeasurement = (): void => {
	for (const [host, node] of nodes) {
		totalsAtBegin.set(host, getTotals(node));
	}

	cpuUsageAtBegin = process.cpuUsage();
};

const countAlive = ({membership}: Node): number => membership.getMembers().filter(({state}) => state === 'alive').length;

const executeCommand = async (command: ProcessCommand): Promise<void> => {
	switch (command.kind) {
		case 'start': {
			heapBeforeStart = measureHeap();
			await Promise.all(command.nodes.map(async (settings, index) => startNode(settings, command, index)));
			sendReport({kind: 'started'});
			break;
		}

		case 'begin': {
			beginMeasurement();
			sendReport({kind: 'begun'});
			break;
		}

		case 'end': {
			sendReport({kind: 'cost', cost: getCost()});
			break;
		}

		case 'kill': {
			nodes.get(command.host)?.transport.stop();
			nodes.delete(command.host);
			sendReport({kind: 'killed'});
			break;
		}

		case 'count': {
			sendReport({kind: 'counted', fewest: Math.min(...[...nodes.values()].map(node => countAlive(node)))});
			break;
		}
	}
};

process.on('message', (command: ProcessCommand) => {
	void executeCommand(command);
});
sendReport({kind: 'ready'});
