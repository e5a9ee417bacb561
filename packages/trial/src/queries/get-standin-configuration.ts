import type {Address, Configuration, UpstreamId} from '@gentianlift/types';

/** Gets the configuration with the addresses of stand-ins, and one time zone for all customers if given. */
export const getStandinConfiguration = (
	configuration: Configuration,
	addresses: ReadonlyMap<UpstreamId, Address>,
	timeZone?: string,
): Configuration => {
	const {inventory} = configuration;
	const place = <Upstream extends {id: UpstreamId; address: Address}>(upstream: Upstream): Upstream =>
		({...upstream, address: addresses.get(upstream.id) ?? upstream.address});
	return {
		...configuration,
		inventory: {
			...inventory,
			engines: inventory.engines.map(engine => place(engine)),
			services: inventory.services.map(service => ({
				...service, instances: service.instances.map(instance => place(instance)),
			})),
			customers: inventory.customers.map(customer => ({...customer, timeZone: timeZone ?? customer.timeZone})),
		},
	};
};
