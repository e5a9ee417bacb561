import type {Logger} from '@gentianlift/logger';
import {getUpstreamKey, type Upstream, type UpstreamKey} from '@gentianlift/routing';
import {createLeavingUpstreams} from './leaving-upstreams.js';

/** The upstreams that the store lists, by the keys of their entries. */
export type ListedUpstreams = {
	/** Lists an upstream; one with another start time or software version than the known one is a new incarnation. */
	apply: (storeKey: string, upstream: Upstream) => void;
	/** Removes an upstream for a reason, for the log. */
	remove: (storeKey: string, reason: string) => void;
	get: (storeKey: string) => Upstream | undefined;
	getAll: () => readonly Upstream[];
	/** Returns the upstream with the key of an incarnation; undefined if it isn't listed. */
	getByKey: (upstreamKey: UpstreamKey) => Upstream | undefined;
	/** Returns the upstreams of a service that aren't leaving. */
	getAccepting: (service: string) => readonly Upstream[];
	/** Whether the incarnation of an upstream is listed and isn't leaving. */
	isAccepting: (upstreamKey: UpstreamKey) => boolean;
	/** Records that the incarnation of an upstream has said that it leaves, whatever its entry says; `source` is for the log. Returns whether that is news. */
	markLeaving: (upstreamKey: UpstreamKey, source: string) => boolean;
	/** Keeps that upstreams leave, whatever their entries say later. */
	keepLeaving: () => void;
};

/** Options of the list. */
export type ListedUpstreamsOptions = {
	logger: Logger;
	/** Returns the revision of the store, for the log. */
	getRevision: () => number;
	/** Called with each incarnation of an upstream that is listed for the first time. */
	onListed?: ((upstream: Upstream) => void) | undefined;
	/** Called with each incarnation of an upstream that is no longer listed. */
	onRemoved?: ((upstreamKey: UpstreamKey) => void) | undefined;
	/** Called with each incarnation of an upstream that is listed as leaving, when it was not before. */
	onLeaving?: ((upstreamKey: UpstreamKey) => void) | undefined;
};

/** Lookups that every request needs, so that none searches the whole list. */
type UpstreamIndex = {
	all: readonly Upstream[];
	byKey: ReadonlyMap<UpstreamKey, Upstream>;
	/** Those that aren't leaving, by service, and their keys. */
	accepting: ReadonlyMap<string, readonly Upstream[]>;
	acceptingKeys: ReadonlySet<UpstreamKey>;
};

const groupByService = (upstreams: readonly Upstream[]): Map<string, Upstream[]> => {
	const groups = new Map<string, Upstream[]>();
	for (const upstream of upstreams) {
		const group = groups.get(upstream.service) ?? [];
		groups.set(upstream.service, group);
		group.push(upstream);
	}

	return groups;
};

const buildIndex = (upstreams: Iterable<Upstream>): UpstreamIndex => {
	const all = [...upstreams];
	const accepting = all.filter(({isLeaving}) => !isLeaving);
	return {
		all,
		// The last one of a key stays in a map, but the one that was listed first counts.
		byKey: new Map(all.toReversed().map(upstream => [getUpstreamKey(upstream), upstream])),
		accepting: groupByService(accepting),
		acceptingKeys: new Set(accepting.map(upstream => getUpstreamKey(upstream))),
	};
};

/** Creates an empty list. */
export const createListedUpstreams = ({
	logger, getRevision, onListed, onRemoved, onLeaving,
}: ListedUpstreamsOptions): ListedUpstreams => {
	const upstreams = new Map<string, Upstream>();
	const leaving = createLeavingUpstreams();
	/** Undefined after a change. */
	let index: UpstreamIndex | undefined;

	const getIndex = (): UpstreamIndex => {
		index ??= buildIndex(upstreams.values());
		return index;
	};

	const remove = (storeKey: string, reason: string): void => {
		const known = upstreams.get(storeKey);
		if (known === undefined) {
			return;
		}

		upstreams.delete(storeKey);
		index = undefined;
		logger.info('upstream-removed', {upstream: getUpstreamKey(known), reason, revision: getRevision()});
		onRemoved?.(getUpstreamKey(known));
	};

	const logListed = (upstream: Upstream): void => {
		logger.info('upstream-listed', {
			upstream: getUpstreamKey(upstream), service: upstream.service, address: upstream.address, leaving: upstream.isLeaving, software: upstream.softwareVersion, revision: getRevision(),
		});
	};

	const apply = (storeKey: string, listed: Upstream): void => {
		const upstream = leaving.has(getUpstreamKey(listed)) ? {...listed, isLeaving: true} : listed;
		const known = upstreams.get(storeKey);
		const isSame = known !== undefined && getUpstreamKey(known) === getUpstreamKey(upstream) && known.softwareVersion === upstream.softwareVersion;
		if (!isSame) {
			remove(storeKey, 'restarted');
		}

		upstreams.set(storeKey, upstream);
		index = undefined;
		if (!isSame) {
			onListed?.(upstream);
		}

		if (!isSame || known.isLeaving !== upstream.isLeaving) {
			logListed(upstream);
			if (upstream.isLeaving) {
				onLeaving?.(getUpstreamKey(upstream));
			}
		}
	};

	return {
		apply,
		remove,
		get: storeKey => upstreams.get(storeKey),
		getAll: () => getIndex().all,
		getByKey: upstreamKey => getIndex().byKey.get(upstreamKey),
		getAccepting: service => getIndex().accepting.get(service) ?? [],
		isAccepting: upstreamKey => getIndex().acceptingKeys.has(upstreamKey),
		markLeaving(upstreamKey, source) {
			if (!leaving.add(upstreamKey)) {
				return false;
			}

			logger.info('upstream-leaving', {upstream: upstreamKey, source});
			for (const [storeKey, upstream] of upstreams) {
				if (getUpstreamKey(upstream) === upstreamKey) {
					apply(storeKey, upstream);
				}
			}

			return true;
		},
		keepLeaving() {
			for (const upstream of upstreams.values()) {
				if (upstream.isLeaving) {
					leaving.add(getUpstreamKey(upstream));
				}
			}
		},
	};
};
