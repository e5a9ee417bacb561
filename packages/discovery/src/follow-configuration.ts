import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Address, Milliseconds} from '@gentianlift/types';
import type {ConfigurationClient} from './configuration-calls.js';
import type {FleetView} from './fleet-view.js';
import {startLoop, type LoopOptions} from './loop.js';

/**
Keeps a host from going by an older configuration than other hosts, whatever the store holds. Revisions of the store don't tell which hosts have a newer one, as a store that was restored gives an older configuration a later revision.
*/
export type ConfigurationFollower = {
	/** Whether this host may go by its configuration: since its start it has asked other hosts for a newer one. */
	isConfirmed: () => boolean;
	/** Whether another host reports a newer configuration. */
	isBehind: () => boolean;
	/** Reads the configuration of another host that reports a newer one, if one does. */
	refresh: () => Promise<void>;
	stop: () => void;
};

/** Options of the follower. */
export type ConfigurationFollowerOptions = {
	view: Pick<FleetView, 'getRoutes' | 'getRevision' | 'applyConfigurationEntry'>;
	client: ConfigurationClient;
	/** Returns the addresses of the other hosts. */
	getAddresses: () => Address[];
	/** Returns the addresses of the hosts that report a newer configuration than the version. */
	getAddressesAhead: (version: number) => Address[];
	/** Returns the newest version that other hosts report. */
	getNewestVersion: () => number | undefined;
	clock: Clock;
	logger: Logger;
	/** Called with the name of a loop, a step of which has failed. */
	onFailure?: LoopOptions['onFailure'];
};

/** Number of hosts that a host asks at its start: more than are likely to be gone together. */
const hostsAskedAtStart = 4;
/** Number of times that it asks if none of them answers. */
const maxStartRounds = 2;
/** Version of a host without a configuration: below all that operators write. */
const noVersion = -1;
/** Interval at which a host that starts checks whether it has read the state of the fleet. */
const startInterval: Milliseconds = 20;
/** Interval at which this host's version is compared with those that other hosts report, or others are asked while none is known. */
const compareInterval: Milliseconds = 150;

/** Starts to follow the configurations of other hosts. */
export const followConfiguration = ({
	view, client, getAddresses, getAddressesAhead, getNewestVersion, clock, logger, onFailure,
}: ConfigurationFollowerOptions): ConfigurationFollower => {
	const state = {isConfirmed: false};

	const getVersion = (): number => view.getRoutes()?.configuration.version ?? noVersion;

	const isBehind = (): boolean => (getNewestVersion() ?? noVersion) > getVersion();

	/** Asks hosts for a configuration newer than the version, and applies it; returns how many were asked and have answered. */
	const readNewer = async (version: number, addresses: readonly Address[], count: number): Promise<{asked: number; answered: number}> => {
		const {asked, answered, entries} = await client.fetchNewer({version, addresses, count});
		for (const entry of entries) {
			view.applyConfigurationEntry(entry);
		}

		return {asked, answered};
	};

	const refresh = async (): Promise<void> => {
		if (isBehind()) {
			const version = getVersion();
			await readNewer(version, getAddressesAhead(version), 1);
		}
	};

	/** Asks other hosts for a newer configuration than the store's, which may hold none, or than that of the host whose view this one has taken. */
	const confirm = async (): Promise<void> => {
		const version = getVersion();
		let result = {asked: 0, answered: 0};
		for (let round = 0; round < maxStartRounds && result.answered === 0; round++) {
			// eslint-disable-next-line no-await-in-loop -- Others are asked if none has answered.
			result = await readNewer(version, getAddresses(), hostsAskedAtStart);
		}

		state.isConfirmed = getVersion() !== noVersion;
		if (state.isConfirmed) {
			logger.info('configuration-confirmed', {version: getVersion(), before: version, ...result});
		}
	};

	const follow = async (): Promise<Milliseconds> => {
		if (!state.isConfirmed && view.getRevision() === 0) {
			return startInterval;
		}

		await (state.isConfirmed ? refresh() : confirm());
		return compareInterval;
	};

	const {stop} = startLoop('follow-configuration', follow, {clock, logger, onFailure});
	return {
		isConfirmed: () => state.isConfirmed,
		isBehind,
		refresh,
		stop,
	};
};
