/** A small deployment: a store, an application service, model engines, hosts and clients. */
import {createClients, hostname, key} from './client.mjs';
import {startEngine} from './engine.mjs';
import {findPorts, getSeedNodes, startHost} from './host.mjs';
import {startLink} from './link.mjs';
import {startStore} from './store.mjs';

/** What the routes of bookings and look-ups have in common. */
const ordersRoute = {
	host: hostname, service: 'orders', timeoutMs: 800, targetLatencyMs: 150, priority: 2, public: false, sticky: false, resumable: false,
};

/** Route of streams that may be resumed. */
const planRoute = {
	name: 'r-plan',
	host: hostname,
	prefix: '/stream/',
	type: 'streaming',
	service: 'pool',
	timeoutMs: 6000,
	targetLatencyMs: 800,
	itlTargetMs: 400,
	priority: 1,
	maxAttempts: 2,
	public: false,
	sticky: true,
	resumable: true,
};

/** Route of long prompts, which may not be resumed. */
const reviewRoute = {
	...planRoute, name: 'r-review', prefix: '/stream/review/', timeoutMs: 12_000, targetLatencyMs: 2500, itlTargetMs: 1000, priority: 2, maxAttempts: 1, resumable: false,
};

/** Configuration as the operator writes it, with the kinds of request of the site that the cases need; `keys` are the tenant's. */
export const buildConfiguration = (version, keys = [key]) => ({
	version,
	routes: [
		{
			...ordersRoute, name: 'r-book', prefix: '/book/', type: 'non_idempotent', maxAttempts: 1,
		},
		{
			...ordersRoute, name: 'r-look', prefix: '/look/', type: 'idempotent', maxAttempts: 2,
		},
		planRoute,
		reviewRoute,
	],
	services: [
		{
			name: 'orders', healthPath: '/healthz', maxConnections: 100, protocol: 'h1', tls: false,
		},
		{
			name: 'pool',
			healthPath: '/healthz',
			maxConnections: 360,
			protocol: 'h1',
			tls: false,
			engine: {
				batchSlots: 64, kvCapacity: 480_559, stride: 3, models: [{name: 'm'}],
			},
		},
	],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	tenants: [{name: 'tenant-1', apiKeys: keys, priority: 1}],
});

/** Starts it; `hosts` and `engines` name what there is, each with its zone. Each host reaches the store over a link of its own. */
export const startDeployment = async ({
	record, folder, getIp, onEnd,
}, {hosts: hostPlans, engines: enginePlans, configuration = buildConfiguration(7)}) => {
	const store = await startStore({ip: getIp(1)});
	onEnd(() => store.close());
	store.put('op/config', configuration);
	const engines = {};
	for (const [index, plan] of enginePlans.entries()) {
		// eslint-disable-next-line no-await-in-loop
		engines[plan.id] = await startEngine({
			ip: getIp(100 + index), store, record, ...plan,
		});
		onEnd(() => engines[plan.id].exit());
	}

	const ips = hostPlans.map((_, index) => getIp(10 + index));
	const ports = await findPorts(ips[0]);
	const hosts = {};
	for (const [index, plan] of hostPlans.entries()) {
		// eslint-disable-next-line no-await-in-loop
		const link = await startLink(getIp(50 + index), store.address);
		onEnd(() => link.close());
		hosts[plan.name] = startHost({
			ip: ips[index], store: link.address, ports, seedNodes: getSeedNodes(ips, ports), folder, record, ...plan,
		});
		hosts[plan.name].storeLink = link;
		onEnd(() => hosts[plan.name].end());
	}

	const clients = createClients(record);
	onEnd(() => clients.close());
	return {
		store, engines, hosts, clients,
	};
};
