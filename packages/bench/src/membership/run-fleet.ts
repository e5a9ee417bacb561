import type {Clock} from '@gentianlift/clock';
import type {HostId, Milliseconds, Settings} from '@gentianlift/types';
import {findPorts} from '@gentianlift/trial';
import type {Cost, NodeSettings, Report} from './messages.js';
import {startNodeProcess, type NodeProcess} from './node-process.js';

/** Figures of one fleet, a node each where not said otherwise. */
export type FleetFigures = {
	nodes: number;
	processes: number;
	/** Time until each node saw all others; undefined if some never did. */
	joined: Milliseconds | undefined;
	/** Share of one core. */
	processorShare: number;
	sentPerSecond: number;
	receivedPerSecond: number;
	/** Sent and received by the node with the most. */
	mostPerSecond: number;
	heapBytes: number;
	/** Time from the end of one node until no other had it as alive, and until all had it as gone, and so in no answer. */
	suspectedAfter: Milliseconds | undefined;
	goneAfter: Milliseconds | undefined;
};

const nodesPerProcess = 38;
const zones = ['a', 'b', 'c'];
const hostsPerNetwork = 250;
const joinLimit: Milliseconds = 60_000;
const pollInterval: Milliseconds = 250;
const settleTime: Milliseconds = 30_000;
const span: Milliseconds = 20_000;
const killLimit: Milliseconds = 40_000;
const millisecondsPerSecond = 1000;

const getNodes = (count: number, port: number): NodeSettings[] => Array.from({length: count}, (_, index) => ({
	host: `host-${index}`,
	zone: zones[index % zones.length] ?? '',
	gossipAddress: `127.1.${Math.floor(index / hostsPerNetwork)}.${(index % hostsPerNetwork) + 1}:${port}`,
}));

const waitUntilJoined = async (processes: NodeProcess[], count: number, clock: Clock): Promise<Milliseconds | undefined> => {
	const start = clock.monotonic();
	/* eslint-disable no-await-in-loop -- Each round looks at the state after a pause. */
	while (clock.monotonic() - start < joinLimit) {
		const counts = await Promise.all(processes.map(async process => process.ask({kind: 'count'}, 'counted')));
		if (Math.min(...counts.map(({fewest}) => fewest)) === count) {
			return clock.monotonic() - start;
		}

		await clock.sleep(pollInterval);
	}
	/* eslint-enable no-await-in-loop */

	return undefined;
};

const measureCosts = async (processes: NodeProcess[], clock: Clock): Promise<Cost[]> => {
	await Promise.all(processes.map(async process => process.ask({kind: 'begin'}, 'begun')));
	await clock.sleep(span);
	const reports = await Promise.all(processes.map(async process => process.ask({kind: 'end'}, 'cost')));
	return reports.map(({cost}) => cost);
};

type Loss = Pick<FleetFigures, 'suspectedAfter' | 'goneAfter'>;

const measureLoss = async (processes: NodeProcess[], lost: HostId, count: number, clock: Clock): Promise<Loss> => {
	const suspected = new Map<HostId, Milliseconds>();
	const gone = new Map<HostId, Milliseconds>();
	const receive = (report: Report): void => {
		if (report.kind !== 'changed' || report.host !== lost) {
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
	await processes[0]?.ask({kind: 'kill', host: lost}, 'killed');
	/* eslint-disable no-await-in-loop -- Each round looks at the state after a pause. */
	while (gone.size < count - 1 && clock.now() - start < killLimit) {
		await clock.sleep(pollInterval);
	}
	/* eslint-enable no-await-in-loop */

	const getLast = (moments: Map<HostId, Milliseconds>): Milliseconds | undefined =>
		moments.size < count - 1 ? undefined : Math.max(...moments.values()) - start;
	return {suspectedAfter: getLast(suspected), goneAfter: getLast(gone)};
};

const getSum = (costs: Cost[], get: (cost: Cost) => number): number => costs.reduce((sum, cost) => sum + get(cost), 0);

/** Runs a fleet of real nodes over UDP on loopback and measures it. */
export const runFleet = async (count: number, clock: Clock): Promise<FleetFigures> => {
	const [port = 0] = await findPorts(1);
	const nodes = getNodes(count, port);
	const seeds: Settings['seeds'] = nodes.slice(0, 3).map(({host, gossipAddress}) => ({host, gossipAddress, peerAddress: gossipAddress}));
	const processCount = Math.ceil(count / nodesPerProcess);
	const processes = await Promise.all(Array.from({length: processCount}, startNodeProcess));
	try {
		await Promise.all(processes.map(async (process, index) => {
			const own = nodes.filter((_, position) => position % processCount === index);
			await process.ask({
				kind: 'start', nodes: own, seeds, seed: index * count,
			}, 'started');
		}));
		const joined = await waitUntilJoined(processes, count, clock);
		await clock.sleep(settleTime);
		const costs = await measureCosts(processes, clock);
		const seconds = span / millisecondsPerSecond;
		const loss = await measureLoss(processes, 'host-0', count, clock);
		return {
			nodes: count,
			processes: processCount,
			joined,
			processorShare: getSum(costs, ({processor}) => processor) / millisecondsPerSecond / span / count,
			sentPerSecond: getSum(costs, ({bytesSent}) => bytesSent) / seconds / count,
			receivedPerSecond: getSum(costs, ({bytesReceived}) => bytesReceived) / seconds / count,
			mostPerSecond: Math.max(...costs.map(({mostBytes}) => mostBytes)) / seconds,
			heapBytes: getSum(costs, ({heap}) => heap) / count,
			...loss,
		};
	} finally {
		await Promise.all(processes.map(async process => process.stop()));
	}
};
