/** The store comes back from a copy that is some seconds old, in which an engine that has left is still entered. */
import {
	hasTrouble, runCase, sleep, startLoad, waitUntilReady,
} from '../support/case.mjs';
import {startDeployment} from '../support/deployment.mjs';
import {bounds} from '../support/host.mjs';

await runCase(import.meta.dirname, async context => {
	const {record} = context;
	const {engines, hosts, clients, store} = await startDeployment(context, {
		hosts: [{name: 'edge-a-1', zone: 'zone-a'}, {name: 'edge-b-1', zone: 'zone-b'}],
		engines: [1, 2, 3, 4].map(number => ({
			id: `i-orders-${number}`, service: 'orders', zone: 'zone-a', work: 90,
		})),
	});
	const all = Object.values(hosts);
	await waitUntilReady(all);
	await sleep(4000);
	let number = 0;
	const send = async ({callers: address}) => {
		number += 1;
		return clients.send({address, path: `/book/${number}`});
	};

	const load = startLoad(30, () => all.map(async host => send(host)), context.onEnd);
	await sleep(2000);
	const copy = store.copy();
	await sleep(2000);
	const leaving = engines['i-orders-3'];
	leaving.removeEntry();
	const removedAt = record.now();
	await sleep(2500);
	if (hasTrouble) {
		store.state.isDown = true;
		await sleep(300);
		store.restore(copy);
		store.state.isDown = false;
		record.add('store-restored');
	}

	const restoredAt = record.now();
	await sleep(3900);
	leaving.exit();
	await sleep(1000);
	load.stop();
	await sleep(1500);
	const sent = new Map(record.find('sent').map(row => [row.attempt, row]));
	const late = record.find('reached').filter(({engine, at}) => engine === leaving.id && at > removedAt + bounds.drainMs);
	const inTouch = late.filter(({attempt}) => sent.get(attempt).at > restoredAt + bounds.stableWindowMs);
	const lost = load.results.filter(({status}) => status !== 200);
	return {
		isBroken: inTouch.length > 0,
		summary: `${late.length} requests reached ${leaving.id} over ${bounds.drainMs} ms after its removal, ${inTouch.length} of them from hosts in touch again; bookings without success: ${lost.length}`,
	};
});
