import type {Milliseconds} from '@gentianlift/types';
import {getUpstreamKey, type Upstream, type UpstreamKey} from './upstream.js';

/** Software versions of each service that a host has known to serve lately. */
export type VersionHistory = {
	/** Records that an upstream is listed. */
	list: (upstream: Upstream, now: Milliseconds) => void;
	/** Records that an upstream is no longer listed. */
	remove: (key: UpstreamKey, now: Milliseconds) => void;
	/** Returns the versions of a service that are listed now or were so at a time or after it, within the history's length. */
	getVersions: (service: string, since: Milliseconds) => ReadonlySet<string>;
	/** Whether upstreams were listed at a time already, and are known without a break, so that no other version can have served since. */
	covers: (since: Milliseconds) => boolean;
	/** Records that what has served until now isn't known for certain. */
	restart: (now: Milliseconds) => void;
};

type ServiceVersion = {service: string; softwareVersion: string; removedAt: Milliseconds};

/** Creates a history of a length. */
export const createVersionHistory = (length: Milliseconds): VersionHistory => {
	const listed = new Map<UpstreamKey, Upstream>();
	let removed: ServiceVersion[] = [];
	let startedAt = Number.POSITIVE_INFINITY;

	return {
		list(upstream, now) {
			startedAt = Math.min(startedAt, now);
			listed.set(getUpstreamKey(upstream), upstream);
		},
		remove(key, now) {
			const upstream = listed.get(key);
			if (upstream === undefined) {
				return;
			}

			const {service, softwareVersion} = upstream;
			listed.delete(key);
			removed = removed.filter(item => now - item.removedAt <= length && (item.service !== service || item.softwareVersion !== softwareVersion));
			removed.push({service, softwareVersion, removedAt: now});
		},
		getVersions(service, since) {
			const recent = [...listed.values(), ...removed.filter(({removedAt}) => removedAt >= since)];
			return new Set(recent.filter(item => item.service === service).map(({softwareVersion}) => softwareVersion));
		},
		covers: since => startedAt <= since,
		restart(now) {
			startedAt = startedAt === Number.POSITIVE_INFINITY ? startedAt : now;
		},
	};
};
