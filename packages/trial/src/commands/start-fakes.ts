import {
	createFakeEngine, createFakeHostList, createFakeKeyValue, createFakeService, createFakeWeightStore,
	type EngineOptions, type FakeEngine, type FakeHostList, type FakeKeyValue, type FakeService, type FakeWeightStore,
} from '@gentianlift/fakes';
import type {
	Address, Engine, Inventory, UpstreamId,
} from '@gentianlift/types';

/** Fakes, inside this process, of the systems that the router connects to. */
export type Fakes = {
	engines: Map<UpstreamId, FakeEngine>;
	services: Map<UpstreamId, FakeService>;
	keyValue: FakeKeyValue;
	hostList: FakeHostList;
	weightStore: FakeWeightStore;
	/** Address of each fake upstream. */
	addresses: Map<UpstreamId, Address>;
	close: () => Promise<void>;
};

const startEngine = async (engine: Engine, inventory: Inventory, options: EngineOptions): Promise<[UpstreamId, FakeEngine]> => {
	const modelSizes = [...inventory.models, ...inventory.adapters].map(({name, bytes}) => [name, bytes]);
	const fake = await createFakeEngine({
		models: engine.models,
		adapters: engine.adapters,
		role: engine.role,
		slots: engine.slots,
		fencing: engine.fencing,
		bytes: Object.fromEntries(modelSizes) as Record<string, number>,
		...options,
	});
	return [engine.id, fake];
};

const getAddresses = (fakes: Map<UpstreamId, FakeEngine | FakeService>): Map<UpstreamId, Address> =>
	new Map([...fakes].map(([id, {listener}]) => [id, listener.address]));

/** Starts fakes of all upstreams of an inventory and of the platform's services. */
export const startFakes = async (inventory: Inventory, options: EngineOptions = {}): Promise<Fakes> => {
	const [keyValue, hostList, weightStore] = await Promise.all([createFakeKeyValue(), createFakeHostList(), createFakeWeightStore()]);
	const engines = new Map(await Promise.all(inventory.engines.map(async (engine, index) =>
		startEngine(engine, inventory, {weightStoreUrl: weightStore.listener.url, seed: index + 1, ...options}))));
	const instances = inventory.services.flatMap(service => service.instances);
	const services = new Map(await Promise.all(instances.map(async ({id, slots}): Promise<[UpstreamId, FakeService]> =>
		[id, await createFakeService({slots})])));
	const fakes = [...engines.values(), ...services.values(), keyValue, hostList, weightStore];
	return {
		engines,
		services,
		keyValue,
		hostList,
		weightStore,
		addresses: new Map([...getAddresses(engines), ...getAddresses(services)]),
		async close() {
			await Promise.all(fakes.map(async fake => fake.close()));
		},
	};
};
