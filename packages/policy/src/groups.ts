import type {
	Configuration, Engine, EngineRole, GroupId, ModelName, Service, UpstreamId, Work, Zone,
} from '@gentianlift/types';

/** Most upstreams whose work one owner orders. */
export const groupSize = 8;

/** An upstream as the decisions see it. */
export type GroupUpstream = {
	id: UpstreamId;
	kind: 'engine' | 'service';
	zone: Zone;
	role: EngineRole;
	/** Requests that the upstream runs at once. */
	slots: number;
	/** Names of models, adapters or the service that the upstream may hold. */
	holds: ReadonlySet<string>;
};

/** Upstreams whose work one host orders. */
export type Group = {
	id: GroupId;
	upstreams: GroupUpstream[];
};

/** Gets the groups of a configuration; the same on every host with the same version. */
export const getGroups = (configuration: Configuration): Group[] => [
	...getEngineGroups(configuration.inventory.engines),
	...configuration.inventory.services.flatMap(service => getServiceGroups(service)),
];

/** Gets the names of what an upstream must hold to run the work. */
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

/** Gets the groups with at least one upstream that may hold all needs. */
export const getGroupsFor = (groups: readonly Group[], needs: readonly string[]): Group[] =>
	groups.filter(group => group.upstreams.some(upstream => hasNeeds(upstream, needs)));

/** Whether an upstream may hold all needs. */
export const hasNeeds = (upstream: GroupUpstream, needs: readonly string[]): boolean =>
	needs.every(need => upstream.holds.has(need));

/** Name of a model among needs. */
export const getModelNeed = (model: ModelName): string => `model:${model}`;

/** Name of an adapter among needs. */
export const getAdapterNeed = (adapter: ModelName): string => `adapter:${adapter}`;

/** Name of a service among needs. */
export const getServiceNeed = (service: string): string => `service:${service}`;

const getEngineGroups = (engines: readonly Engine[]): Group[] => {
	const byModels = new Map<string, Engine[]>();
	for (const engine of engines) {
		const models = engine.models.toSorted().join('+');
		byModels.set(models, [...byModels.get(models) ?? [], engine]);
	}

	return [...byModels]
		.toSorted(([first], [second]) => compareText(first, second))
		.flatMap(([models, members]) => getChunks(`engines:${models}`, members.map(engine => getEngineUpstream(engine))));
};

const getServiceGroups = (service: Service): Group[] => getChunks(`service:${service.name}`, service.instances.map(instance => ({
	id: instance.id,
	kind: 'service',
	zone: instance.zone,
	role: 'mixed',
	slots: instance.slots,
	holds: new Set([getServiceNeed(service.name)]),
})));

const getEngineUpstream = (engine: Engine): GroupUpstream => ({
	id: engine.id,
	kind: 'engine',
	zone: engine.zone,
	role: engine.role,
	slots: engine.slots,
	holds: new Set([...engine.models.map(model => getModelNeed(model)), ...engine.adapters.map(adapter => getAdapterNeed(adapter))]),
});

const getChunks = (name: string, upstreams: readonly GroupUpstream[]): Group[] => {
	const sorted = upstreams.toSorted((first, second) => compareText(first.id, second.id));
	const chunks = Math.ceil(sorted.length / groupSize);
	return Array.from({length: chunks}, (_, index) => ({
		id: `${name}#${index}`,
		upstreams: sorted.slice(index * groupSize, (index + 1) * groupSize),
	}));
};

const compareText = (first: string, second: string): number => {
	if (first === second) {
		return 0;
	}

	return first < second ? -1 : 1;
};
