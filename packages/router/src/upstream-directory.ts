import type {
	Address, Configuration, Fencing, UpstreamId, Zone,
} from '@gentianlift/types';

/** What the router has to know of an upstream to call it. */
export type UpstreamEntry = {
	id: UpstreamId;
	kind: 'engine' | 'service';
	address: Address;
	zone: Zone;
	/** Service instances have no fencing. */
	fencing?: Fencing;
};

/** Upstreams by name and by address. */
export type UpstreamDirectory = {
	byId: ReadonlyMap<UpstreamId, UpstreamEntry>;
	byAddress: ReadonlyMap<Address, UpstreamEntry>;
};

/** Gets the upstreams of a configuration. */
export const createUpstreamDirectory = ({inventory}: Configuration): UpstreamDirectory => {
	const engines = inventory.engines.map(({id, address, zone, fencing}): UpstreamEntry => ({
		id, kind: 'engine', address, zone, fencing,
	}));
	const services = inventory.services.flatMap(({instances}) => instances.map(({id, address, zone}): UpstreamEntry => ({
		id, kind: 'service', address, zone,
	})));
	const entries = [...engines, ...services];
	return {
		byId: new Map(entries.map(entry => [entry.id, entry])),
		byAddress: new Map(entries.map(entry => [entry.address, entry])),
	};
};
