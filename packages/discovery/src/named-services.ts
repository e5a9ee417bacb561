import type {RoutingConfiguration} from '@gentianlift/routing';

/** The services that the newest known configuration names. */
export type NamedServices = {
	/** Whether a service is named; each may be while no configuration is known. */
	has: (service: string) => boolean;
	/** Takes a configuration over if it is newer. */
	update: (configuration: RoutingConfiguration) => void;
	/** Returns a copy that is updated by itself. */
	copy: () => NamedServices;
};

const findNamedServices = ({routes, services}: RoutingConfiguration): Set<string> =>
	new Set([...services.map(({name}) => name), ...routes.flatMap(({destinations}) => destinations.map(({service}) => service))]);

/** Creates it with a configuration, if one is known. */
export const createNamedServices = (initial?: RoutingConfiguration): NamedServices => {
	let known = initial;
	let names = initial === undefined ? undefined : findNamedServices(initial);
	return {
		has: service => names?.has(service) ?? true,
		update(configuration) {
			if (known === undefined || configuration.version > known.version) {
				known = configuration;
				names = findNamedServices(configuration);
			}
		},
		copy: () => createNamedServices(known),
	};
};
