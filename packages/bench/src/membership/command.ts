import {defineCommand} from 'citty';
import {createSystemClock} from '@gentianlift/clock';
import {runFleet, type FleetFigures} from './run-fleet.js';
import {measureTrpcExchange} from './trpc-exchange.js';

const fullFleet = 480;
/** Size of a usual packet of the membership, for the comparison with tRPC. */
const packetBytes = 400;

/** Bytes that UDP and IP add to a datagram. */
const datagramOverhead = 28;

const header = '| nodes | processes | all joined s | core % | sent B/s | received B/s | most B/s | heap KB | suspected by all s | out of all answers s |';
const rule = '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |';

const formatSeconds = (time: number | undefined): string => time === undefined ? 'never' : (time / 1000).toFixed(1);

const formatRow = (figures: FleetFigures): string => {
	const cells = [
		figures.nodes,
		figures.processes,
		formatSeconds(figures.joined),
		(figures.processorShare * 100).toFixed(2),
		Math.round(figures.sentPerSecond),
		Math.round(figures.receivedPerSecond),
		Math.round(figures.mostPerSecond),
		Math.round(figures.heapBytes / 1024),
		formatSeconds(figures.suspectedAfter),
		formatSeconds(figures.goneAfter),
	];
	return `| ${cells.join(' | ')} |`;
};

/** Gets the value at the full fleet on a line through the last two fleets. */
const getSlopeValue = (all: FleetFigures[], get: (figures: FleetFigures) => number): number | undefined => {
	const [first, second] = all.slice(-2);
	if (first === undefined || second === undefined) {
		return undefined;
	}

	const slope = (get(second) - get(first)) / (second.nodes - first.nodes);
	return get(second) + (slope * (fullFleet - second.nodes));
};

/** Measures what membership costs a node, for fleets of several sizes, and how fast a lost host is noticed. */
export const membership = defineCommand({
	meta: {name: 'membership', description: 'Cost of membership for each node, and time until a lost host is out of all answers'},
	args: {
		nodes: {type: 'string', description: 'Sizes of fleets', default: '7,30,100,300'},
	},
	async run({args}) {
		const clock = createSystemClock();
		const all: FleetFigures[] = [];
		console.log(`${header}\n${rule}`);
		for (const count of args.nodes.split(',').map(Number)) {
			// eslint-disable-next-line no-await-in-loop -- One fleet at a time, so that none disturbs another.
			const figures = await runFleet(count, clock);
			all.push(figures);
			console.log(formatRow(figures));
		}

		const share = getSlopeValue(all, ({processorShare}) => processorShare * 100);
		const bytes = getSlopeValue(all, ({sentPerSecond, receivedPerSecond}) => sentPerSecond + receivedPerSecond);
		const heap = getSlopeValue(all, ({heapBytes}) => heapBytes / 1024);
		console.log(`at ${fullFleet} nodes, on a line through the last two:`);
		console.log(`${share?.toFixed(2)} % of a core, ${bytes?.toFixed(0)} B/s sent and received, ${heap?.toFixed(0)} KB of heap`);
		const exchange = await measureTrpcExchange(packetBytes);
		console.log(`two packets of ${packetBytes} B over UDP, with its headers: ${2 * (packetBytes + datagramOverhead)} B`);
		console.log(`over tRPC, without headers of TCP and IP: ${exchange.first.toFixed(0)} B at first, ${exchange.further.toFixed(0)} B then`);
	},
});
