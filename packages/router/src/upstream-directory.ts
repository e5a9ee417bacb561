import type {
	Address, Configuration, FencingSupport, UpstreamId, Zone,
} from '@gentianlift/types';

/** Address and properties of an upstream that the router needs to call it. */
export type UpstreamEntry = {
	id: UpstreamId;
	kind: 'engine' | 'service';
	address: Address;
	zone: Zone;
	/** Undefined for service instances, which have no fencing. */
	fencing?: FencingSupport;
};

/** Upstreams of a configuration by id and by address. */
export type UpstreamDirectory = {
	byId: ReadonlyMap<UpstreamId, UpstreamEntry>;
	byAddress: ReadonlyMap<Address, UpstreamEntry>;
};

/** Creates the directory of a configuration's upstreams. */
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
