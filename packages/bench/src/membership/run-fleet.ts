import type {Clock} from '@gentianlift/clock';
import type {HostId, Milliseconds, Settings} from '@gentianlift/types';
import {findPorts} from '@gentianlift/trial';
import type {ProcessCost, NodeSettings, ProcessReport} from './messages.js';
import {startNodeProcess, type NodeProcess} from './node-process.js';

/** Measurement of one fleet, as averages per node where not said otherwise. */
export type FleetMeasurement = {
	nodes: number;
	processes: number;
	/** Time until every node saw all others as alive; undefined on timeout. */
	joinedAfter: Milliseconds | undefined;
	/** Fraction of one processor core. */
	coreRatio: number;
	/** Bytes sent per second, including UDP and IP headers. */
	sentPerSecond: number;
	/** Bytes received per second, including UDP and IP headers. */
	receivedPerSecond: number;
	/** Bytes sent and received per second by the node with the most traffic. */
	maxPerSecond: number;
	heapBytes: number;
	/** Time from the stop of one node until no other node saw it as alive. */
	suspectedAfter: Milliseconds | undefined;
	/** Time from the stop of one node until all others saw it as gone, and so left it out of every answer. */
	goneAfter: Milliseconds | undefined;
};

const nodesPerProcess = 38;
const zones = ['a', 'b', 'c'];
const hostsPerNetwork = 250;
const joinTimeout: Milliseconds = 60_000;
const pollInterval: Milliseconds = 250;
const stabilizationTime: Milliseconds = 30_000;
const measurementDuration: Milliseconds = 20_000;
const lossTimeout: Milliseconds = 40_000;
const millisecondsPerSecond = 1000;

const createNodeSettings = (count: number, port: number): NodeSettings[] => Array.from({length: count}, (_, index) => ({
	host: `host-${index}`,
	zone: zones[index % zones.length] ?? '',
	gossipAddress: `127.1.${Math.floor(index / hostsPerNetwork)}.${(index % hostsPerNetwork) + 1}:${port}`,
}));

const waitUntilJoined = async (processes: NodeProcess[], count: number, clock: Clock): Promise<Milliseconds | undefined> => {
	const start = clock.monotonic();
	/* eslint-disable no-await-in-loop -- Each iteration polls the state after a pause. */
	while (clock.monotonic() - start < joinTimeout) {
		const counts = await Promise.all(processes.map(async process => process.request({kind: 'count'}, 'counted')));
		if (Math.min(...counts.map(({fewest}) => fewest)) === count) {
			return clock.monotonic() - start;
		}

		await clock.sleep(pollInterval);
	}
	/* eslint-enable no-await-in-loop */

	return undefined;
};

const measureCosts = async (processes: NodeProcess[], clock: Clock): Promise<ProcessCost[]> => {
	await Promise.all(processes.map(async process => process.request({kind: 'begin'}, 'begun')));
	await clock.sleep(measurementDuration);
	const reports = await Promise.all(processes.map(async process => process.request({kind: 'end'}, 'cost')));
	return reports.map(({cost}) => cost);
};

type LossDetection = Pick<FleetMeasurement, 'suspectedAfter' | 'goneAfter'>;

const measureLossDetection = async (processes: NodeProcess[], lostHost: HostId, count: number, clock: Clock): Promise<LossDetection> => {
	const suspected = new Map<HostId, Milliseconds>();
	const gone = new Map<HostId, Milliseconds>();
	const receive = (report: ProcessReport): void => {
		if (report.kind !== 'changed' || report.host !== lostHost) {
			return;
		}

		suspected.set(report.viewer, suspected.get(report.viewer) ?? report.at);
		if (report.state === 'gone') {
			gone.set(report.viewer, gone.get(report.viewer) ?? report.at);
		}
	};

	for (const process of processes) {
		process.onReport(receive);
	}

	const start = clock.now();
	await processes[0]?.request({kind: 'kill', host: lostHost}, 'killed');
	/* eslint-disable no-await-in-loop -- Each iteration polls the state after a pause. */
	while (gone.size < count - 1 && clock.now() - start < lossTimeout) {
		await clock.sleep(pollInterval);
	}
	/* eslint-enable no-await-in-loop */

	const getElapsedToLast = (times: Map<HostId, Milliseconds>): Milliseconds | undefined =>
		times.size < count - 1 ? undefined : Math.max(...times.values()) - start;
	return {suspectedAfter: getElapsedToLast(suspected), goneAfter: getElapsedToLast(gone)};
};

const sumCosts = (costs: ProcessCost[], getValue: (cost: ProcessCost) => number): number => costs.reduce((sum, cost) => sum + getValue(cost), 0);

/** Runs and measures a fleet of real membership nodes that communicate over UDP on loopback addresses. */
export const runFleet = async (count: number, clock: Clock): Promise<FleetMeasurement> => {
	const [port = 0] = await findPorts(1);
	const nodes = createNodeSettings(count, port);
	const seeds: Settings['seeds'] = nodes.slice(0, 3).map(({host, gossipAddress}) => ({host, gossipAddress, peerAddress: gossipAddress}));
	const processCount = Math.ceil(count / nodesPerProcess);
	const processes = await Promise.all(Array.from({length: processCount}, startNodeProcess));
	try {
		await Promise.all(processes.map(async (process, index) => {
			const assignedNodes = nodes.filter((_, position) => position % processCount === index);
			await process.request({
				kind: 'start', nodes: assignedNodes, seeds, seed: index * count,
			}, 'started');
		}));
		const joinedAfter = await waitUntilJoined(processes, count, clock);
		await clock.sleep(stabilizationTime);
		const costs = await measureCosts(processes, clock);
		const seconds = measurementDuration / millisecondsPerSecond;
		const loss = await measureLossDetection(processes, 'host-0', count, clock);
		return {
			nodes: count,
			processes: processCount,
			joinedAfter,
			coreRatio: sumCosts(costs, ({processor}) => processor) / millisecondsPerSecond / measurementDuration / count,
			sentPerSecond: sumCosts(costs, ({bytesSent}) => bytesSent) / seconds / count,
			receivedPerSecond: sumCosts(costs, ({bytesReceived}) => bytesReceived) / seconds / count,
			maxPerSecond: Math.max(...costs.map(({mostBytes}) => mostBytes)) / seconds,
			heapBytes: sumCosts(costs, ({heap}) => heap) / count,
			...loss,
		};
	} finally {
		await Promise.all(processes.map(async process => process.stop()));
	}
};
