import type {
	ConfigurationResponse, ConfigurationVersion, HostId, Milliseconds,
} from '@gentianlift/types';
import {createActiveVersion, type ChangeListener, type ActiveVersion} from './active-version.js';
import {bootstrap} from './bootstrap.js';
import {defaultTimings, type FollowerOptions, type FollowerTimings} from './follower-options.js';
import {getVersionNumber} from './follower-state.js';
import {createLastContact, type LastContact} from './last-contact.js';
import {createLoop, type Loop} from './loop.js';
import {packVersion} from './pack.js';
import {getPeers} from './peer-choice.js';
import {applyPeerResult, createPeerReader, type PeerReader} from './peer-reader.js';
import {createPollLoop} from './poll-loop.js';
import {createServiceReader, type ServiceReader} from './service-reader.js';
import {currentVersionKey} from './store-keys.js';
import {createVersionFetcher} from './version-fetcher.js';
import {createWatchLoop} from './watch-loop.js';

/**
Statuses of a follower: `none` without a version, `isolated` without recent contact to the key-value service or any peer,
else whether the active version was recently confirmed to be the newest.
*/
export const followerStatuses = ['none', 'confirmed', 'unconfirmed', 'isolated'] as const;
/** One of `followerStatuses`. A host with the status `none` or `isolated` accepts no new requests. */
export type FollowerStatus = typeof followerStatuses[number];

/** Keeps the configuration of one host up to date with the accepted one. */
export type ConfigurationFollower = {
	/** Starts following; resolves after the first attempt to obtain a version. */
	start: () => Promise<void>;
	stop: () => void;
	/** Returns the active version; its number never decreases. */
	getCurrent: () => ConfigurationVersion | undefined;
	/** Registers a listener for each version that becomes active from now on. */
	onChange: (listener: ChangeListener) => void;
	/** Records that a host advertises a version, and fetches it if it is newer than the active one. */
	recordAdvertisedVersion: (host: HostId, version: number) => void;
	/** Whether the active version was known to be the newest within the maximum confirmation age. */
	isConfirmed: () => boolean;
	/** Returns the present status. */
	getStatus: () => FollowerStatus;
	/** Answers a peer's request for a version newer than `after`. */
	readConfiguration: (from: HostId, message: {after: number}) => Promise<ConfigurationResponse>;
};

/** Number of hosts that watch the key-value service. */
const watcherCount = 2;
/** Factor by which the delay between attempts to obtain a first version grows. */
const backoffFactor = 2;

const createAnswer = (activeVersion: ActiveVersion, after: number, now: Milliseconds): ConfigurationResponse => {
	const {current, confirmedAt} = activeVersion.getState();
	const answer: ConfigurationResponse = {};
	if (current !== undefined) {
		answer.version = current.version;
	}

	if (current !== undefined && current.version > after) {
		answer.packed = packVersion(current);
	}

	if (confirmedAt !== undefined) {
		answer.age = Math.max(0, now - confirmedAt);
	}

	return answer;
};

/** Components that the loops of a follower share. */
type FollowerComponents = {
	timings: FollowerTimings;
	activeVersion: ActiveVersion;
	lastContact: LastContact;
	readService: ServiceReader;
	readPeer: PeerReader;
	getOwners: () => readonly HostId[];
};

const isVersionConfirmed = ({clock}: FollowerOptions, {activeVersion, timings}: FollowerComponents): boolean => {
	const {confirmedAt} = activeVersion.getState();
	return confirmedAt !== undefined && clock.monotonic() - confirmedAt <= timings.maxConfirmationAge;
};

const createExchangeLoop = (options: FollowerOptions, components: FollowerComponents): Loop => {
	const {clock, random, metrics, getMembers, self} = options;
	const {timings, activeVersion, readPeer} = components;
	return createLoop(clock, async () => {
		const peer = random.pick(getPeers(getMembers(), self));
		if (peer !== undefined) {
			applyPeerResult(activeVersion, await readPeer(peer.host));
		}

		metrics.setGauge('configuration_confirmed', isVersionConfirmed(options, components) ? 1 : 0);

		return timings.exchangeInterval * (0.5 + random.next());
	});
};

const createBootstrapLoop = (options: FollowerOptions, components: FollowerComponents, onDone: () => void): Loop => {
	const {clock, random, getMembers, self} = options;
	const {timings, activeVersion, readService, readPeer, getOwners} = components;
	let delay = timings.retryInterval;
	return createLoop(clock, async () => {
		const isDone = await bootstrap({
			random,
			activeVersion,
			readService,
			readPeer,
			getPeers: () => getPeers(getMembers(), self),
			getOwners,
			getHighestAdvertisedVersion: () => Math.max(0, ...getMembers().map(({configurationVersion}) => configurationVersion)),
		});
		if (isDone) {
			onDone();
		}

		delay = Math.min(timings.watchTimeout, delay * backoffFactor);
		return delay * (0.5 + random.next());
	});
};

const createFollowLoops = (options: FollowerOptions, components: FollowerComponents): Loop[] => {
	const {clock, random, metrics, keyValue, getMembers, self} = options;
	const {timings, activeVersion, readService, getOwners, lastContact} = components;
	const isWatcher = (): boolean => getOwners().includes(self);
	return [
		createWatchLoop({
			clock, metrics, keyValue, activeVersion, lastContact, timings, isWatcher,
		}),
		createPollLoop({
			clock, random, metrics, readService, getFleetSize: () => getPeers(getMembers(), self).length + 1, fleetPollInterval: timings.fleetPollInterval,
		}),
		createExchangeLoop(options, components),
	];
};

const createFollowerComponents = (options: FollowerOptions): FollowerComponents => {
	const {clock, metrics, keyValue, peers, parse} = options;
	const timings = {...defaultTimings, ...options.timings};
	const activeVersion = createActiveVersion(parse, metrics);
	const lastContact = createLastContact(clock);
	return {
		timings,
		activeVersion,
		lastContact,
		readService: createServiceReader({
			clock, keyValue, activeVersion, lastContact, timeout: timings.readTimeout,
		}),
		readPeer: createPeerReader({
			clock, peers, activeVersion, lastContact,
		}),
		getOwners: () => options.getOwners(currentVersionKey, watcherCount),
	};
};

/**
Creates the follower of a host.
Few hosts watch the key-value service; the others learn of a new version from membership messages and fetch it from a peer.
Polls of the service and exchanges with a random peer are the fallback for both.
*/
export const createConfigurationFollower = (options: FollowerOptions): ConfigurationFollower => {
	const {clock, random, metrics, getMembers, self} = options;
	const components = createFollowerComponents(options);
	const {timings, activeVersion, readPeer, lastContact} = components;
	const followLoops = createFollowLoops(options, components);
	const versionFetcher = createVersionFetcher({
		clock, random, metrics, activeVersion, timings, readPeer, getPeers: () => getPeers(getMembers(), self),
	});
	let isStarted = false;
	let isStopped = false;
	let hasHadPeers = false;

	const bootstrapLoop = createBootstrapLoop(options, components, () => {
		bootstrapLoop.stop();
		if (isStopped) {
			return;
		}

		isStarted = true;
		for (const loop of followLoops) {
			loop.start(0);
		}
	});

	const isConfirmed = (): boolean => isVersionConfirmed(options, components);

	const getStatus = (): FollowerStatus => {
		hasHadPeers ||= getMembers().some(({host}) => host !== self);
		if (getVersionNumber(activeVersion.getState()) === 0) {
			return 'none';
		}

		if (hasHadPeers && lastContact.getAge() > timings.isolationTimeout) {
			return 'isolated';
		}

		return isConfirmed() ? 'confirmed' : 'unconfirmed';
	};

	return {
		start: async () => bootstrapLoop.run(),
		stop() {
			isStopped = true;
			bootstrapLoop.stop();
			versionFetcher.stop();
			for (const loop of followLoops) {
				loop.stop();
			}
		},
		getCurrent: () => activeVersion.getState().current,
		onChange: activeVersion.onChange,
		recordAdvertisedVersion(host, version) {
			if (isStarted && !isStopped && host !== self) {
				versionFetcher.requestVersion(host, version);
			}
		},
		isConfirmed,
		getStatus,
		readConfiguration: async (_from, {after}) => createAnswer(activeVersion, after, clock.monotonic()),
	};
};
