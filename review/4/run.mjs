/** A host is stopped for a restart while requests wait in its queue for engines that are busy with long prompts. */
import {
	hasTrouble, runCase, sleep, startLoad, waitUntilReady,
} from '../support/case.mjs';
import {startDeployment} from '../support/deployment.mjs';
import {bounds} from '../support/host.mjs';

/** Deadline of the clients and timeout of the route. */
const deadline = 12_000;
/** Tokens a ms that an engine of the site reads. */
const prefillRate = 37.9;

await runCase(import.meta.dirname, async context => {
	const {record} = context;
	const {hosts, clients} = await startDeployment(context, {
		hosts: [{name: 'edge-a-1', zone: 'zone-a'}, {name: 'edge-b-1', zone: 'zone-b'}],
		engines: [1, 2, 3].map(number => ({
			id: `i-pool-${number}`, service: 'pool', zone: 'zone-a', events: 10, interval: 50, prefillRate,
		})),
	});
	const stopped = hosts['edge-a-1'];
	await waitUntilReady(Object.values(hosts));
	await sleep(4000);
	let number = 0;
	let targets = Object.values(hosts);
	const send = async ({callers: address}) => {
		number += 1;
		const result = await clients.send({
			address, path: `/stream/review/${number}`, deadline, headers: {
				'gentianlift-model': 'm', 'gentianlift-token-usage': '17020,30', 'gentianlift-prefix-hash': `a${number.toString(16)}:13300,f${number.toString(16)}:3720`,
			},
		});
		return {...result, isStopped: address === stopped.callers};
	};

	const load = startLoad(160, () => targets.map(async host => send(host)), context.onEnd);
	await sleep(12_000);
	const stoppedAt = record.now();
	if (hasTrouble) {
		stopped.signal('SIGTERM');
	}

	// Clients use an address for a second after they have last been given it.
	await sleep(1000);
	targets = targets.filter(host => host !== stopped);
	await sleep(11_500);
	load.stop();
	await sleep(2000);
	const reached = new Set(record.find('reached').map(({attempt}) => attempt));
	const ofStopped = load.results.filter(({isStopped}) => isStopped);
	const lost = ofStopped.filter(({id, status, sentAt, endedAt}) => status === undefined && !reached.has(id) && endedAt - sentAt > bounds.lossSlackMs && endedAt - sentAt < deadline);
	for (const {id, sentAt, endedAt} of lost) {
		record.add('lost', {attempt: id, after: Math.round(endedAt - sentAt)});
	}

	const times = lost.map(({sentAt, endedAt}) => Math.round(endedAt - sentAt)).toSorted((one, other) => one - other);
	const answered = ofStopped.filter(({status}) => status !== undefined).length;
	record.add('stopped', {at: Math.round(stoppedAt), answered, of: ofStopped.length});
	return {
		isBroken: lost.length > 0,
		summary: `${lost.length} of ${ofStopped.length} requests to the host, read and passed on to no engine, ended with a closed connection, after ms: ${times.join(', ')}`,
	};
});
