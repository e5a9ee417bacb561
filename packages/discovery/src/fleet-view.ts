import type {Logger} from '@gentianlift/logger';
import {getEra} from '@gentianlift/platform';
import {
	getUpstreamKey, type RouteTable, type RoutingConfiguration, type Service, type Upstream, type UpstreamKey,
} from '@gentianlift/routing';
import type {
	Change, Entry, Milliseconds, Select, Snapshot,
} from '@gentianlift/types';
import {getChangeRevision} from './checked-entries.js';
import type {DecodedEntry} from './decoded-entry.js';
import type {EntryClassifierOptions} from './entry-classifier.js';
import type {ForeignTotals} from './foreign-entries.js';
import type {HostRecord} from './host-record.js';
import {createListedHosts} from './listed-hosts.js';
import {createListedUpstreams, type ListedUpstreamsOptions} from './listed-upstreams.js';
import {createNewestConfiguration} from './newest-configuration.js';
import {createSafeDecoder} from './entry-decoder.js';
import {createKnownEntries} from './known-entries.js';
import type {ViewReading} from './state-reading.js';
import {createStoreContact, type Interval} from './store-contact.js';

/** This host's copy of the configuration, upstreams and hosts in the key-value service, here called the store; it may lag behind. */
export type FleetView = {
	/** Begins a reading of the whole state, which keeps what this view would hold. */
	createReading: () => ViewReading;
	/** Creates what selects of a reply with changes those that this view needs. */
	createChangeSelector: () => Select<Change>;
	/** Whether a snapshot that was read by a reading isn't older than what is known, or the reading has taken in what came meanwhile. */
	canApply: (snapshot: Snapshot, reading: ViewReading) => boolean;
	/** Replaces all entries; ones that the snapshot lacks are removed, after a grace period if the store was restored from an older copy. `reading` is the one by which the snapshot was read, if it was. */
	applySnapshot: (snapshot: Snapshot, now: Milliseconds, reading?: ViewReading) => void;
	/** Applies changes that lead up to the revision; ones up to the known revision are ignored. */
	applyChanges: (changes: readonly Change[], revision: number, now: Milliseconds) => void;
	/** Records whether the store answered the last call; a change batch that a relay has sent counts as an answer. */
	recordContact: (isStoreReached: boolean, now: Milliseconds) => void;
	/** Removes the entries that were lost in an outage or a restore of the store, if they have not been written again in time. */
	applyDeferredRemovals: (now: Milliseconds) => void;
	/** Returns the revision of the store up to which changes are known; 0 before the first. */
	getRevision: () => number;
	/** Returns whether the last recorded call was answered. */
	isStoreReached: () => boolean;
	/** Returns the time since the store last answered this host or, through a relay, sent it a change batch. */
	getTimeSinceStoreContact: (now: Milliseconds) => Milliseconds;
	/** Returns the last interval in which no answer of the store came for longer than a watch of it lasts, so that entries may have changed unseen; its end is infinite while it lasts. Undefined if there was none. */
	getUnseenInterval: (now: Milliseconds) => Interval | undefined;
	/** Whether another incarnation of an upstream is listed in its place. */
	isReplaced: (upstream: Upstream) => boolean;
	/** Returns an entry of the store, other than the configuration, as it is known; undefined if there is none. */
	getEntry: (key: string) => Entry | undefined;
	/** Returns all known entries, for other hosts. */
	getSnapshot: () => Snapshot;
	/** Returns the entry that holds the newest configuration, for other hosts; undefined before the first. */
	getConfigurationEntry: () => Entry | undefined;
	/** Applies the entry with the newest configuration of another host, whatever its revision. */
	applyConfigurationEntry: (entry: Entry) => void;
	/** Returns the routes of the newest configuration; undefined before the first. */
	getRoutes: () => RouteTable | undefined;
	/** Records that the incarnation of an upstream has said that it leaves, whatever its entry says; `source` is for the log. Returns whether that is news. */
	markLeaving: (upstreamKey: UpstreamKey, source: string) => boolean;
	/** Returns the upstreams that run a service and accept new requests. */
	getUpstreams: (service: string) => readonly Upstream[];
	/** Returns the upstreams that run a service, those that leave included. */
	getListedUpstreams: (service: string) => readonly Upstream[];
	/** Returns the service that the incarnation of an upstream runs; undefined if it isn't listed. */
	getService: (upstreamKey: UpstreamKey) => Service | undefined;
	/** Returns whether the incarnation of an upstream is listed and accepts new requests. */
	isUsable: (upstreamKey: UpstreamKey) => boolean;
	/** Returns the records of all listed hosts, this one included. */
	getHosts: () => readonly HostRecord[];
	/** Returns the number of entries that can't be read; see `ForeignEntries`. */
	countInvalidEntries: () => number;
	/** Returns what the entries that name nothing come to. */
	getForeignTotals: () => ForeignTotals;
	/** Returns the number of entries that are held, without the configuration. */
	countEntries: () => number;
	/** Whether entries of the store were left out, as there was no room for them. */
	isIncomplete: () => boolean;
	/** Whether entries were left out for which there is room by now, so that the whole state is to be read again. */
	canBeCompleted: () => boolean;
};

/** Options of a view. */
export type FleetViewOptions = Pick<ListedUpstreamsOptions, 'onListed' | 'onRemoved' | 'onLeaving'> & {
	/** Decodes an entry that isn't a host record. */
	decode: (entry: Entry) => DecodedEntry;
	/** Classifies an entry that neither the operators nor an upstream have written; each is a readable record if absent. */
	classifyRecord?: EntryClassifierOptions['classifyRecord'];
	logger: Logger;
	/** Called when the state is read whole instead of being followed change by change, so that upstreams may have come and gone unnoticed. */
	onGap?: () => void;
	/** Called with each newer configuration. */
	onConfiguration?: (configuration: RoutingConfiguration) => void;
};

/** Times in which entries can be written again: by upstreams whose leases expired in an `outage` of the store, and by hosts, too, after a `restore` from an older copy, which they notice when they renew their leases. */
const graces = {outage: 2000, restore: 4000} as const satisfies Record<string, Milliseconds>;

/** Creates an empty view. */
export const createFleetView = ({
	decode, classifyRecord = () => 'readable', logger, onGap, onConfiguration, ...listeners
}: FleetViewOptions): FleetView => {
	const decodeSafely = createSafeDecoder(decode);
	const deferredRemovals = new Set<string>();
	const upstreams = createListedUpstreams({logger, getRevision: () => revision, ...listeners});
	const hosts = createListedHosts();
	const contact = createStoreContact(logger, () => revision);
	const configuration = createNewestConfiguration(logger, newer => {
		entries.applyServices(newer);
		onConfiguration?.(newer);
	});
	const entries = createKnownEntries({
		decode: decodeSafely, classifyRecord, upstreams, hosts, configuration, logger, getRevision: () => revision,
	});
	let revision = 0;
	/** The reading that takes in what changes meanwhile; undefined if the view hasn't gone on change by change since it began. */
	let openReading: ViewReading | undefined;
	/** Times until which the removal of upstreams and of hosts is deferred. */
	let [upstreamsKeptUntil, hostsKeptUntil] = [Number.NEGATIVE_INFINITY, Number.NEGATIVE_INFINITY];

	const removeNow = (storeKey: string, reason: string): void => {
		deferredRemovals.delete(storeKey);
		entries.remove(storeKey, reason);
	};

	const applyEntry = (entry: Entry): void => {
		deferredRemovals.delete(entry.key);
		entries.apply(entry);
	};

	/** Removes an entry. Shortly after an outage of the store that of an upstream is deferred, as its lease may have expired only because it could not be renewed; after a restore that of a host, too. */
	const removeEntry = (storeKey: string, now: Milliseconds): void => {
		const upstream = upstreams.get(storeKey);
		if (upstream !== undefined && !upstream.isLeaving && now < upstreamsKeptUntil) {
			logger.info('upstream-lapsed', {upstream: getUpstreamKey(upstream), revision});
			deferredRemovals.add(storeKey);
		} else if (hosts.has(storeKey) && now < hostsKeptUntil) {
			deferredRemovals.add(storeKey);
		} else {
			removeNow(storeKey, 'removed');
		}
	};

	/** Keeps what an older copy of the store doesn't know: entries that will be written again, and that upstreams leave. */
	const prepareForRestore = (now: Milliseconds, next: number): void => {
		logger.warn('store-restored', {era: getEra(next), revision: next, known: revision});
		upstreamsKeptUntil = now + graces.restore;
		hostsKeptUntil = now + graces.restore;
		upstreams.keepLeaving();
	};

	/** Whether an entry names an earlier incarnation of a known upstream. */
	const isOlderIncarnation = (entry: Entry): boolean => {
		const known = upstreams.get(entry.key);
		const decoded = known === undefined ? undefined : decodeSafely(entry);
		return known !== undefined && decoded?.kind === 'upstream' && decoded.upstream.startedAt < known.startedAt;
	};

	/** Removes the entries that are held and weren't read, or name nothing any more. */
	const removeUnread = (reading: ViewReading, now: Milliseconds): void => {
		for (const storeKey of entries.keys()) {
			if (reading.isUnsound(storeKey)) {
				deferredRemovals.delete(storeKey);
				entries.applyUnsound(storeKey);
			} else if (!reading.has(storeKey)) {
				removeEntry(storeKey, now);
			}
		}
	};

	/** Whether a reading has read pages, and has taken in all changes since. */
	const isFollowed = (reading: ViewReading): boolean =>
		reading === openReading && reading.position.revision !== undefined && getEra(reading.position.revision) === getEra(revision);

	return {
		createReading() {
			openReading = entries.createReading();
			return openReading;
		},
		canApply: (snapshot, reading) => snapshot.revision >= revision || isFollowed(reading),
		createChangeSelector: entries.createChangeSelector,
		applySnapshot(snapshot, now, reading = entries.createReading()) {
			const next = isFollowed(reading) ? Math.max(snapshot.revision, revision) : snapshot.revision;
			openReading = undefined;
			const isRestored = revision > 0 && getEra(next) > getEra(revision);
			if (isRestored) {
				prepareForRestore(now, next);
			}

			if (revision > 0 && next !== revision) {
				logger.info('changes-skipped', {known: revision, revision: next});
				onGap?.();
			}

			revision = next;
			for (const entry of snapshot.entries) {
				reading.add(entry);
			}

			entries.endReading();
			removeUnread(reading, now);
			for (const entry of reading.getEntries()) {
				if (!isRestored || !isOlderIncarnation(entry)) {
					applyEntry(entry);
				}
			}

			if (reading.isIncomplete()) {
				entries.noteIncomplete();
			}
		},
		applyChanges(changes, next, now) {
			const known = revision;
			revision = Math.max(revision, next);
			for (const change of changes.filter(other => getChangeRevision(other) > known)) {
				openReading?.follow(change);
				if (change.kind === 'written') {
					applyEntry(change.entry);
				} else if ((entries.get(change.key)?.revision ?? 0) < change.revision) {
					removeEntry(change.key, now);
				}
			}
		},
		recordContact(reached, now) {
			if (contact.record(reached, now)) {
				upstreamsKeptUntil = Math.max(upstreamsKeptUntil, now + graces.outage);
			}
		},
		applyDeferredRemovals(now) {
			if (now < upstreamsKeptUntil) {
				return;
			}

			for (const key of deferredRemovals) {
				removeNow(key, 'lapsed');
			}
		},
		getRevision: () => revision,
		isStoreReached: contact.isReached,
		getTimeSinceStoreContact: contact.getSilence,
		getUnseenInterval: contact.getUnseenInterval,
		isReplaced: ({service, id, startedAt}) => upstreams.getAll().some(other => other.service === service && other.id === id && other.startedAt !== startedAt),
		getEntry: entries.get,
		getSnapshot: () => ({entries: [...entries.values(), configuration.getEntry(revision) ?? []].flat(), revision}),
		getConfigurationEntry: () => configuration.getEntry(revision),
		applyConfigurationEntry(entry) {
			const decoded = decodeSafely(entry);
			if (decoded.kind === 'configuration') {
				entries.applyConfiguration(entry, decoded);
			}
		},
		markLeaving: upstreams.markLeaving,
		getRoutes: configuration.getRoutes,
		getUpstreams: upstreams.getAccepting,
		getListedUpstreams: service => upstreams.getAll().filter(upstream => upstream.service === service),
		getService(upstreamKey) {
			const listed = upstreams.getByKey(upstreamKey);
			return listed === undefined ? undefined : configuration.getRoutes()?.services.get(listed.service);
		},
		isUsable: upstreams.isAccepting,
		getHosts: hosts.getAll,
		countInvalidEntries: entries.countUnreadable,
		getForeignTotals: entries.getTotals,
		countEntries: entries.count,
		isIncomplete: entries.isIncomplete,
		canBeCompleted: entries.canBeCompleted,
	};
};
