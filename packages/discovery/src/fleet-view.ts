import type {Logger} from '@gentianlift/logger';
import {
	buildRouteTable, getUpstreamKey, type RouteTable, type RoutingConfiguration, type Upstream, type UpstreamKey,
} from '@gentianlift/routing';
import type {
	Change, Entry, HostId, Milliseconds, Snapshot,
} from '@gentianlift/types';
import {hostPrefix, parseHostRecord, type HostRecord} from './host-record.js';

/** What an entry of the operators or of an upstream says. */
export type FleetItem
	= | {kind: 'configuration'; configuration: RoutingConfiguration}
		| {kind: 'upstream'; upstream: Upstream}
		| {kind: 'unreadable'; reason: string}
		| {kind: 'other'};

/** What this host believes of configuration, upstreams and hosts, from the key-value service. */
export type FleetView = {
	/** Replaces all entries. */
	applySnapshot: (snapshot: Snapshot, now: Milliseconds) => void;
	applyChanges: (changes: readonly Change[], revision: number, now: Milliseconds) => void;
	/** Tells that the service could not be reached, or answers again. */
	applyContact: (isReached: boolean, now: Milliseconds) => void;
	/** Drops entries that lapsed in an outage and have not come back. */
	dropLapsed: (now: Milliseconds) => void;
	/** Revision of the service up to which changes are known; 0 before the first. */
	getRevision: () => number;
	/** Whether the last call to the service was answered. */
	isReached: () => boolean;
	/** Time since the service last answered. */
	getSilence: (now: Milliseconds) => Milliseconds;
	getSnapshot: () => Snapshot;
	getRoutes: () => RouteTable | undefined;
	/** Upstreams of a service that take new work. */
	getUpstreams: (service: string) => Upstream[];
	/** Tells whether the incarnation is listed and takes new work. */
	isUsable: (key: UpstreamKey) => boolean;
	getHosts: () => HostRecord[];
};

/** What a view is made of. */
export type FleetViewOptions = {
	/** Reads an entry that isn't a host record. */
	decode: (entry: Entry) => FleetItem;
	logger: Logger;
	/** Called with the incarnations that are no longer listed. */
	onRemoved?: (key: UpstreamKey) => void;
};

/** Time after an outage in which upstreams whose entries lapsed in it may register again. */
const returnGrace: Milliseconds = 2000;

/** Creates an empty view. */
export const createFleetView = ({decode, logger, onRemoved}: FleetViewOptions): FleetView => {
	const entries = new Map<string, Entry>();
	const upstreams = new Map<string, Upstream>();
	const hosts = new Map<HostId, HostRecord>();
	const lapsed = new Set<string>();
	let table: RouteTable | undefined;
	let revision = 0;
	let lastContact = Number.NEGATIVE_INFINITY;
	let isReached = true;
	let returnedAt = Number.NEGATIVE_INFINITY;

	const applyConfiguration = (configuration: RoutingConfiguration): void => {
		const known = table?.configuration.version;
		if (known !== undefined && configuration.version <= known) {
			logger.debug('configuration-ignored', {version: configuration.version, known});
			return;
		}

		table = buildRouteTable(configuration);
		logger.info('configuration-applied', {
			version: configuration.version, previous: known, routes: configuration.routes.length, revision,
		});
	};

	const removeUpstream = (entryKey: string, reason: string): void => {
		const known = upstreams.get(entryKey);
		if (known === undefined) {
			return;
		}

		upstreams.delete(entryKey);
		logger.info('upstream-removed', {upstream: getUpstreamKey(known), reason, revision});
		onRemoved?.(getUpstreamKey(known));
	};

	const applyUpstream = (entryKey: string, upstream: Upstream): void => {
		const known = upstreams.get(entryKey);
		const isSame = known !== undefined && getUpstreamKey(known) === getUpstreamKey(upstream);
		if (!isSame) {
			removeUpstream(entryKey, 'restarted');
		}

		upstreams.set(entryKey, upstream);
		if (!isSame || known.isLeaving !== upstream.isLeaving) {
			logger.info('upstream-listed', {
				upstream: getUpstreamKey(upstream), service: upstream.service, address: upstream.address, leaving: upstream.isLeaving, revision,
			});
		}
	};

	const applyHost = (entry: Entry): void => {
		const record = parseHostRecord(entry.value);
		if (record === undefined) {
			logger.warn('entry-unreadable', {key: entry.key, reason: 'not a host record'});
			return;
		}

		hosts.set(entry.key, record);
	};

	const applyItem = (key: string, item: FleetItem): void => {
		switch (item.kind) {
			case 'configuration': {
				applyConfiguration(item.configuration);
				break;
			}

			case 'upstream': {
				applyUpstream(key, item.upstream);
				break;
			}

			case 'unreadable': {
				logger.warn('entry-unreadable', {key, reason: item.reason});
				removeUpstream(key, 'unreadable');
				break;
			}

			case 'other': {
				break;
			}
		}
	};

	const applyEntry = (entry: Entry): void => {
		const known = entries.get(entry.key);
		lapsed.delete(entry.key);
		if (known !== undefined && known.revision >= entry.revision) {
			return;
		}

		entries.set(entry.key, entry);
		if (entry.key.startsWith(hostPrefix)) {
			applyHost(entry);
		} else {
			applyItem(entry.key, decode(entry));
		}
	};

	const drop = (key: string, reason: string): void => {
		lapsed.delete(key);
		entries.delete(key);
		hosts.delete(key);
		removeUpstream(key, reason);
	};

	/** An entry that lapsed because the service was away is kept until its upstream had time to register again. */
	const removeEntry = (key: string, now: Milliseconds): void => {
		const upstream = upstreams.get(key);
		if (upstream !== undefined && !upstream.isLeaving && now - returnedAt < returnGrace) {
			logger.info('upstream-lapsed', {upstream: getUpstreamKey(upstream), revision});
			lapsed.add(key);
			return;
		}

		drop(key, 'removed');
	};

	return {
		applySnapshot(snapshot, now) {
			revision = snapshot.revision;
			const present = new Set(snapshot.entries.map(({key}) => key));
			for (const key of entries.keys()) {
				if (!present.has(key)) {
					removeEntry(key, now);
				}
			}

			for (const entry of snapshot.entries) {
				applyEntry(entry);
			}
		},
		applyChanges(changes, next, now) {
			revision = Math.max(revision, next);
			for (const change of changes) {
				if (change.kind === 'written') {
					applyEntry(change.entry);
				} else if ((entries.get(change.key)?.revision ?? 0) < change.revision) {
					removeEntry(change.key, now);
				}
			}
		},
		applyContact(reached, now) {
			if (reached && !isReached) {
				returnedAt = now;
			}

			if (reached !== isReached) {
				logger.warn(reached ? 'store-regained' : 'store-lost', {revision, silence: Math.round(now - lastContact)});
			}

			isReached = reached;
			lastContact = reached ? now : lastContact;
		},
		dropLapsed(now) {
			if (now - returnedAt < returnGrace) {
				return;
			}

			for (const key of lapsed) {
				drop(key, 'lapsed');
			}
		},
		getRevision: () => revision,
		isReached: () => isReached,
		getSilence: now => now - lastContact,
		getSnapshot: () => ({entries: [...entries.values()], revision}),
		getRoutes: () => table,
		getUpstreams: service => [...upstreams.values()].filter(upstream => upstream.service === service && !upstream.isLeaving),
		isUsable: key => [...upstreams.values()].some(upstream => getUpstreamKey(upstream) === key && !upstream.isLeaving),
		getHosts: () => [...hosts.values()],
	};
};
