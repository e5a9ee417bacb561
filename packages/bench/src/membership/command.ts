import {defineCommand} from 'citty';
import {createSystemClock} from '@gentianlift/clock';
import {runFleet, type FleetMeasurement} from './run-fleet.js';
import {measureTrpcExchange} from './trpc-exchange.js';

const fullFleetSize = 480;
/** Size in bytes of a typical membership packet, for the comparison with tRPC. */
const packetBytes = 400;

/** Size of the UDP and IP headers of a datagram. */
const datagramHeaderBytes = 28;

const header = '| nodes | processes | all joined s | core % | sent B/s | received B/s | most B/s | heap KB | suspected by all s | out of all answers s |';
const separator = '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |';

const formatSeconds = (time: number | undefined): string => time === undefined ? 'never' : (time / 1000).toFixed(1);

const formatRow = (measurement: FleetMeasurement): string => {
	const cells = [
		measurement.nodes,
		measurement.processes,
		formatSeconds(measurement.joinedAfter),
		(measurement.coreRatio * 100).toFixed(2),
		Math.round(measurement.sentPerSecond),
		Math.round(measurement.receivedPerSecond),
		Math.round(measurement.maxPerSecond),
		Math.round(measurement.heapBytes / 1024),
		formatSeconds(measurement.suspectedAfter),
		formatSeconds(measurement.goneAfter),
	];
	return `| ${cells.join(' | ')} |`;
};

/** Extrapolates a value linearly from the last two fleet sizes to the full fleet; undefined with fewer than two fleets. */
const extrapolateToFullFleet = (measurements: FleetMeasurement[], getValue: (measurement: FleetMeasurement) => number): number | undefined => {
	const [first, second] = measurements.slice(-2);
	if (first === undefined || second === undefined) {
		return undefined;
	}

	const slope = (getValue(second) - getValue(first)) / (second.nodes - first.nodes);
	return getValue(second) + (slope * (fullFleetSize - second.nodes));
};

/** Measures the cost of membership per node for several fleet sizes, and how fast the loss of a host is detected. */
export const membership = defineCommand({
	meta: {name: 'membership', description: 'Cost of membership for each node, and time until a lost host is out of all answers'},
	args: {
		nodes: {type: 'string', description: 'Sizes of fleets', default: '7,30,100,300'},
	},
	async run({args}) {
		const clock = createSystemClock();
		const measurements: FleetMeasurement[] = [];
		console.log(`${header}\n${separator}`);
		for (const count of args.nodes.split(',').map(Number)) {
			// eslint-disable-next-line no-await-in-loop -- Fleets run one at a time, so that they don't compete for the processors.
			const measurement = await runFleet(count, clock);
			measurements.push(measurement);
			console.log(formatRow(measurement));
		}

		const corePercent = extrapolateToFullFleet(measurements, ({coreRatio}) => coreRatio * 100);
		const bytesPerSecond = extrapolateToFullFleet(measurements, ({sentPerSecond, receivedPerSecond}) => sentPerSecond + receivedPerSecond);
		const heapKilobytes = extrapolateToFullFleet(measurements, ({heapBytes}) => heapBytes / 1024);
		console.log(`at ${fullFleetSize} nodes, on a line through the last two:`);
		console.log(`${corePercent?.toFixed(2)} % of a core, ${bytesPerSecond?.toFixed(0)} B/s sent and received, ${heapKilobytes?.toFixed(0)} KB of heap`);
		const exchangeBytes = await measureTrpcExchange(packetBytes);
		console.log(`two packets of ${packetBytes} B over UDP, with its headers: ${2 * (packetBytes + datagramHeaderBytes)} B`);
		console.log(`over tRPC, without headers of TCP and IP: ${exchangeBytes.first.toFixed(0)} B at first, ${exchangeBytes.further.toFixed(0)} B then`);
	},
});
