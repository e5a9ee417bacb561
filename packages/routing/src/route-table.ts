import type {Random} from '@gentianlift/clock';
import type {
	Destination, ConfiguredCustomer, Route, RoutingConfiguration, Service,
} from './configuration.js';

/** A configuration with indexes for lookups. */
export type RouteTable = {
	configuration: RoutingConfiguration;
	/** Routes by host name, those with the longest path prefix first. */
	routes: ReadonlyMap<string, readonly Route[]>;
	/** Customers by API key. */
	customers: ReadonlyMap<string, ConfiguredCustomer>;
	/** Services by name. */
	services: ReadonlyMap<string, Service>;
};

/** Sender of a request; `unknown` if the route requires an API key and the request has no valid one. */
export type CallerIdentity = {kind: 'anonymous'} | {kind: 'customer'; customer: ConfiguredCustomer} | {kind: 'unknown'};

const groupRoutes = (routes: readonly Route[]): Map<string, Route[]> => {
	const groups = new Map<string, Route[]>();
	for (const route of routes) {
		const hostname = route.hostname.toLowerCase();
		const group = groups.get(hostname) ?? [];
		group.push(route);
		groups.set(hostname, group);
	}

	for (const group of groups.values()) {
		group.sort((one, other) => other.pathPrefix.length - one.pathPrefix.length);
	}

	return groups;
};

/** Builds the indexes of a configuration. */
export const buildRouteTable = (configuration: RoutingConfiguration): RouteTable => {
	const customersByKey = (configuration.customers ?? []).flatMap(customer => customer.keys.map(key => [key, customer] as const));
	return {
		configuration,
		routes: groupRoutes(configuration.routes),
		customers: new Map(customersByKey),
		services: new Map(configuration.services.map(service => [service.name, service])),
	};
};

/** Returns the host name of a `Host` header in lower case, without its port. */
export const getHostname = (header: string): string => header.replace(/:\d+$/v, '').toLowerCase();

/** Finds the route whose prefix is the longest match of the path; the query string is ignored. */
export const findRoute = (table: RouteTable, hostname: string, target: string): Route | undefined => {
	const [path = ''] = target.split('?', 1);
	return table.routes.get(hostname)?.find(route => path.startsWith(route.pathPrefix));
};

/** Identifies the sender of a request by its API key. */
export const findCaller = (table: RouteTable, route: Route, key: string | undefined): CallerIdentity => {
	const customer = key === undefined ? undefined : table.customers.get(key);
	if (customer !== undefined) {
		return {kind: 'customer', customer};
	}

	const needsKey = table.configuration.customers !== undefined && !route.isPublic;
	return {kind: needsKey ? 'unknown' : 'anonymous'};
};

/** Chooses a destination at random in proportion to the weights; undefined if no weight is above 0. */
export const pickDestination = (destinations: readonly Destination[], random: Random): Destination | undefined => {
	const totalWeight = destinations.reduce((sum, {weight}) => sum + weight, 0);
	let remainingWeight = random.next() * totalWeight;
	for (const destination of destinations) {
		remainingWeight -= destination.weight;
		if (remainingWeight < 0) {
			return destination;
		}
	}

	return destinations.findLast(({weight}) => weight > 0);
};
