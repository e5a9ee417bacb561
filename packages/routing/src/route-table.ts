import type {Random} from '@gentianlift/clock';
import type {
	Destination, KeyHolder, Route, RoutingConfiguration, Service,
} from './configuration.js';

/** A configuration indexed for look-ups. */
export type RouteTable = {
	configuration: RoutingConfiguration;
	routes: ReadonlyMap<string, readonly Route[]>;
	customers: ReadonlyMap<string, KeyHolder>;
	services: ReadonlyMap<string, Service>;
};

/** Who sent a request, as far as its route asks. */
export type CallerStanding = {kind: 'anonymous'} | {kind: 'customer'; customer: KeyHolder} | {kind: 'unknown'};

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

/** Indexes a configuration. */
export const buildRouteTable = (configuration: RoutingConfiguration): RouteTable => {
	const holders = (configuration.customers ?? []).flatMap(customer => customer.keys.map(key => [key, customer] as const));
	return {
		configuration,
		routes: groupRoutes(configuration.routes),
		customers: new Map(holders),
		services: new Map(configuration.services.map(service => [service.name, service])),
	};
};

/** Gets the host name of a `Host` header, without its port. */
export const getHostname = (header: string): string => header.replace(/:\d+$/v, '').toLowerCase();

/** Finds the route with the longest prefix of the path; the query doesn't count. */
export const findRoute = (table: RouteTable, hostname: string, target: string): Route | undefined => {
	const [path = ''] = target.split('?', 1);
	return table.routes.get(hostname)?.find(route => path.startsWith(route.pathPrefix));
};

/** Finds who holds a key, where the route asks for one. */
export const findCaller = (table: RouteTable, route: Route, key: string | undefined): CallerStanding => {
	const customer = key === undefined ? undefined : table.customers.get(key);
	if (customer !== undefined) {
		return {kind: 'customer', customer};
	}

	const needsKey = table.configuration.customers !== undefined && !route.isPublic;
	return {kind: needsKey ? 'unknown' : 'anonymous'};
};

/** Draws one of the destinations by weight; undefined if none has a weight above 0. */
export const drawDestination = (destinations: readonly Destination[], random: Random): Destination | undefined => {
	const total = destinations.reduce((sum, {weight}) => sum + weight, 0);
	let left = random.next() * total;
	for (const destination of destinations) {
		left -= destination.weight;
		if (left < 0) {
			return destination;
		}
	}

	return destinations.findLast(({weight}) => weight > 0);
};
