import {dropOldest, type UpstreamKey} from '@gentianlift/routing';
import type {Zone} from '@gentianlift/types';
import type {ObservedUpstream} from './observed-service.js';

/** Returns the key of the preferred upstream for the shared part that decides, among those of an availability zone or of all. */
export const getPreferenceKey = (part: string, zone: Zone | undefined): string => zone === undefined ? part : `${zone}\n${part}`;

/** Preferred upstreams of prompts, as `getPreferredUpstream` returns them for all reachable upstreams of a service or of one of its zones, by the key of `getPreferenceKey`. */
export type PreferredUpstreams = Map<string, UpstreamKey | undefined>;

/** Keeps the preferred upstreams of each service between dispatch passes. */
export type PreferredUpstreamCache = {
	/** Returns those for the reachable upstreams of a service; none if these have changed since. */
	get: (service: string, reachable: readonly ObservedUpstream[]) => PreferredUpstreams;
};

/** Most shared parts of a service that are kept. */
const maxParts = 4000;

type Known = {reachable: readonly ObservedUpstream[]; preferred: PreferredUpstreams};

const areSame = (one: readonly ObservedUpstream[], other: readonly ObservedUpstream[]): boolean =>
	one.length === other.length && one.every(({key, isReserved}, index) => key === other[index]!.key && isReserved === other[index]!.isReserved);

/** Creates an empty cache. */
export const createPreferredUpstreamCache = (): PreferredUpstreamCache => {
	const services = new Map<string, Known>();
	return {
		get(service, reachable) {
			const known = services.get(service);
			const preferred: PreferredUpstreams = known !== undefined && areSame(known.reachable, reachable) ? known.preferred : new Map<string, UpstreamKey | undefined>();
			dropOldest(preferred, maxParts);
			services.set(service, {reachable, preferred});
			return preferred;
		},
	};
};
