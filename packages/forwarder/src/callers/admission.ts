import {errorTable, type ErrorKind} from '@gentianlift/errors';
import {
	findCaller, findRoute, pickDestination, type ConfiguredCustomer, type Route, type RouteTable,
} from '@gentianlift/routing';
import type {ForwarderContext} from '../context.js';
import type {CallerHead} from '../protocol.js';
import type {ReceivedRequest} from './received-request.js';

/** Route and service of an admitted request, or the error of a refused one. */
export type Admission
	= | {kind: 'admitted'; table: RouteTable; route: Route; service: string; customer: ConfiguredCustomer | undefined}
		| {kind: 'refused'; error: Extract<ErrorKind, 'not-configured' | 'host-overloaded' | 'host-stopping' | 'unknown-path' | 'wrong-key' | 'missing-key'>};

/** Admits or refuses a received request with the parsed headers of its caller. */
export type Admit = (received: ReceivedRequest, head: CallerHead) => Promise<Admission>;

/** Limit on requests that were received completely and have no final answer, for load shedding; each uses two connections and the memory of its body. */
export const maxOpenRequests = 1500;

/** Creates the decision; `countWholeRequests` returns the number of requests that this host is handling and has received completely. */
export const createAdmission = (context: ForwarderContext, countWholeRequests: () => number): Admit => {
	const {view} = context;

	const hasVersion = (version: number): boolean => (view.getRoutes()?.configuration.version ?? Number.NEGATIVE_INFINITY) >= version;

	const admit = (head: CallerHead, target: string): Admission => {
		if (countWholeRequests() >= maxOpenRequests) {
			return {kind: 'refused', error: 'host-overloaded'};
		}

		const table = view.getRoutes();
		if (table === undefined) {
			return {kind: 'refused', error: 'not-configured'};
		}

		const route = findRoute(table, head.hostname, target);
		if (route === undefined) {
			return {kind: 'refused', error: 'unknown-path'};
		}

		if (!context.canAccept(route.timeout)) {
			return {kind: 'refused', error: 'host-stopping'};
		}

		const caller = findCaller(table, route, head.key);
		if (caller.kind === 'unknown') {
			return {kind: 'refused', error: head.key === undefined ? 'missing-key' : 'wrong-key'};
		}

		const destination = pickDestination(route.destinations, context.random);
		const customer = caller.kind === 'customer' ? caller.customer : undefined;
		return destination === undefined
			? {kind: 'refused', error: 'unknown-path'}
			: {
				kind: 'admitted', table, route, service: destination.service, customer,
			};
	};

	const isFinalRefusal = (admission: Admission): boolean => admission.kind === 'refused' && errorTable[admission.error].status !== 503;

	/**
	 * Admits a request by the newest configuration: one that another host reports is awaited, and the newest state is read
	 * before a final refusal, because callers don't retry after it. If a newer configuration may still be in force, they are
	 * told to.
	 */
	const admitWithRefresh = async (head: CallerHead, target: string): Promise<Admission> => {
		await context.freshness.waitForConfiguration();
		const admission = admit(head, target);
		if (!isFinalRefusal(admission)) {
			return admission;
		}

		await context.freshness.refreshIfStale();
		const renewed = admit(head, target);
		return isFinalRefusal(renewed) && context.freshness.isConfigurationUncertain() ? {kind: 'refused', error: 'not-configured'} : renewed;
	};

	// A request that another host has admitted by a newer configuration than this one's is taken only once that is known here, too.
	return async ({target, forwarded}, head) => {
		if (forwarded !== undefined && !hasVersion(forwarded.version)) {
			await context.freshness.refreshIfStale();
		}

		return forwarded === undefined || hasVersion(forwarded.version) ? admitWithRefresh(head, target) : {kind: 'refused', error: 'not-configured'};
	};
};
