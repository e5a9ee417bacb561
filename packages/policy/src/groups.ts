import type {
	Configuration, Engine, EngineRole, GroupId, ModelName, Service, UpstreamId, Work, Zone,
} from '@gentianlift/types';

/** Maximum number of upstreams in a group. */
export const maxGroupSize = 8;

/** The properties of an upstream that scheduling depends on. */
export type GroupUpstream = {
	id: UpstreamId;
	kind: 'engine' | 'service';
	zone: Zone;
	role: EngineRole;
	/** Number of requests that the upstream runs concurrently. */
	slots: number;
	/** Names of the models and adapters that the upstream may load, or of the service that it provides; see `getNeeds`. */
	provides: ReadonlySet<string>;
};

/** Upstreams whose requests are scheduled by one host, the group's owner. */
export type Group = {
	id: GroupId;
	upstreams: GroupUpstream[];
};

/** Returns the groups of a configuration; all hosts with the same version get the same ones. */
export const getGroups = (configuration: Configuration): Group[] => [
	...getEngineGroups(configuration.inventory.engines),
	...configuration.inventory.services.flatMap(service => getServiceGroups(service)),
];

/** Returns the names of the model, adapter or service that an upstream must provide to run the work. */
export const getNeeds = (work: Work): string[] => {
	switch (work.kind) {
		case 'generation': {
			const model = getModelNeed(work.model);
			return work.adapter === undefined ? [model] : [model, getAdapterNeed(work.adapter)];
		}

		case 'call': {
			return [getServiceNeed(work.service)];
		}
	}
};

/** Returns the groups with at least one upstream that can provide all needs. */
export const getGroupsFor = (groups: readonly Group[], needs: readonly string[]): Group[] =>
	groups.filter(group => group.upstreams.some(upstream => canProvide(upstream, needs)));

/** Returns whether an upstream can provide all needs. */
export const canProvide = (upstream: GroupUpstream, needs: readonly string[]): boolean =>
	needs.every(need => upstream.provides.has(need));

/** Returns the name of a model in a list of needs. */
export const getModelNeed = (model: ModelName): string => `model:${model}`;

/** Returns the name of an adapter in a list of needs. */
export const getAdapterNeed = (adapter: ModelName): string => `adapter:${adapter}`;

/** Returns the name of a service in a list of needs. */
export const getServiceNeed = (service: string): string => `service:${service}`;

const getEngineGroups = (engines: readonly Engine[]): Group[] => {
	const enginesByModels = new Map<string, Engine[]>();
	for (const engine of engines) {
		const models = engine.models.toSorted().join('+');
		enginesByModels.set(models, [...enginesByModels.get(models) ?? [], engine]);
	}

	return [...enginesByModels]
		.toSorted(([first], [second]) => compareText(first, second))
		.flatMap(([models, members]) => splitIntoGroups(`engines:${models}`, members.map(engine => getEngineUpstream(engine))));
};

const getServiceGroups = (service: Service): Group[] => splitIntoGroups(`service:${service.name}`, service.instances.map(instance => ({
	id: instance.id,
	kind: 'service',
	zone: instance.zone,
	role: 'mixed',
	slots: instance.slots,
	provides: new Set([getServiceNeed(service.name)]),
})));

const getEngineUpstream = (engine: Engine): GroupUpstream => ({
	id: engine.id,
	kind: 'engine',
	zone: engine.zone,
	role: engine.role,
	slots: engine.slots,
	provides: new Set([...engine.models.map(model => getModelNeed(model)), ...engine.adapters.map(adapter => getAdapterNeed(adapter))]),
});

const splitIntoGroups = (name: string, upstreams: readonly GroupUpstream[]): Group[] => {
	const sorted = upstreams.toSorted((first, second) => compareText(first.id, second.id));
	const groupCount = Math.ceil(sorted.length / maxGroupSize);
	return Array.from({length: groupCount}, (_, index) => ({
		id: `${name}#${index}`,
		upstreams: sorted.slice(index * maxGroupSize, (index + 1) * maxGroupSize),
	}));
};

const compareText = (first: string, second: string): number => {
	if (first === second) {
		return 0;
	}

	return first < second ? -1 : 1;
};
