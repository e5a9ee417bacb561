import type {Logger} from '@gentianlift/logger';
import {getEra} from '@gentianlift/platform';
import {buildRouteTable, type RouteTable, type RoutingConfiguration} from '@gentianlift/routing';
import type {Entry} from '@gentianlift/types';
import type {DecodedEntry} from './decoded-entry.js';

/**
The newest configuration that a host has known. Only its version, which the operators raise with each change, says which of two is newer: a store that was restored from an older copy gives an earlier version a later revision.
*/
export type NewestConfiguration = {
	/** Whether the configuration is known to lie under a key of the store; false before the first one. */
	isKey: (storeKey: string) => boolean;
	/** Takes over the configuration that an entry holds if its version is higher than the known one; `decode` is called only if the entry is news. */
	apply: (entry: Entry, decode: (entry: Entry) => DecodedEntry) => void;
	/** Returns the entry that holds it, for other hosts, which also compare revisions: if the store holds less by now, with the revision of this host's state. Undefined before the first. */
	getEntry: (revision: number) => Entry | undefined;
	/** Returns its routes; undefined before the first. */
	getRoutes: () => RouteTable | undefined;
};

type KnownConfiguration = {entry: Entry; routes: RouteTable};

/** Creates it without a configuration; `onChanged` is called with each newer one. */
export const createNewestConfiguration = (logger: Logger, onChanged?: (configuration: RoutingConfiguration) => void): NewestConfiguration => {
	let newest: KnownConfiguration | undefined;
	/** Revision of the last entry under the key, whatever it holds. */
	let lastRevision = 0;

	const getVersion = (): number | undefined => newest?.routes.configuration.version;

	/** Takes an entry over that holds a newer configuration; logs what is not taken over, once. */
	const takeOver = (entry: Entry, decoded: DecodedEntry): void => {
		const known = getVersion();
		if (decoded.kind === 'configuration' && (known === undefined || decoded.configuration.version > known)) {
			const {version, routes} = decoded.configuration;
			newest = {entry, routes: buildRouteTable(decoded.configuration)};
			logger.info('configuration-applied', {
				version, previous: known, routes: routes.length, revision: entry.revision,
			});
			onChanged?.(decoded.configuration);
		} else if (decoded.kind === 'unreadable') {
			logger.warn('entry-unreadable', {key: entry.key, reason: decoded.reason});
		} else if (entry.revision > lastRevision) {
			const version = decoded.kind === 'configuration' ? decoded.configuration.version : undefined;
			logger.info('configuration-ignored', {version, known, revision: entry.revision});
		}
	};

	return {
		isKey: storeKey => newest?.entry.key === storeKey,
		apply(entry, decode) {
			if (entry.value === newest?.entry.value) {
				newest.entry = {...newest.entry, revision: Math.max(newest.entry.revision, entry.revision)};
			} else {
				takeOver(entry, decode(entry));
			}

			lastRevision = Math.max(lastRevision, entry.revision);
		},
		getEntry(revision) {
			if (newest === undefined) {
				return undefined;
			}

			const {entry} = newest;
			const isInStore = entry.revision === lastRevision && getEra(entry.revision) === getEra(revision);
			return isInStore ? entry : {...entry, revision};
		},
		getRoutes: () => newest?.routes,
	};
};
