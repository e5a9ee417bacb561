import type {Address, Configuration, UpstreamId} from '@gentianlift/types';

/** Returns the configuration with the addresses of the fake upstreams, and with one time zone for all customers if given. */
export const getTrialConfiguration = (
	configuration: Configuration,
	addresses: ReadonlyMap<UpstreamId, Address>,
	timeZone?: string,
): Configuration => {
	const {inventory} = configuration;
	const replaceAddress = <Upstream extends {id: UpstreamId; address: Address}>(upstream: Upstream): Upstream =>
		({...upstream, address: addresses.get(upstream.id) ?? upstream.address});
	return {
		...configuration,
		inventory: {
			...inventory,
			engines: inventory.engines.map(engine => replaceAddress(engine)),
			services: inventory.services.map(service => ({
				...service, instances: service.instances.map(instance => replaceAddress(instance)),
			})),
			customers: inventory.customers.map(customer => ({...customer, timeZone: timeZone ?? customer.timeZone})),
		},
	};
};
