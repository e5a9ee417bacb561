import type {
	ConfigurationAnswer, ConfigurationVersion, HostId, Milliseconds,
} from '@gentianlift/types';
import {createContact, type Contact} from './contact.js';
import {defaultTimes, type FollowerOptions, type FollowerTimes} from './follower-options.js';
import {getVersion} from './follower-state.js';
import {createHolder, type ChangeListener, type Holder} from './holder.js';
import {learnInitially} from './initial-learning.js';
import {createLoop, type Loop} from './loop.js';
import {packVersion} from './pack.js';
import {getPeers} from './peer-choice.js';
import {applyReading, createPeerReader, type PeerReader} from './peer-reader.js';
import {createPollLoop} from './poll-loop.js';
import {createRumours} from './rumours.js';
import {createServiceReader, type ServiceReader} from './service-reader.js';
import {currentKey} from './store-keys.js';
import {createWatchLoop} from './watch-loop.js';

/** How far a host knows that its version is the newest. */
export const followerStandings = ['none', 'confirmed', 'unconfirmed', 'isolated'] as const;
/** One of `followerStandings`: `none` and `isolated` hosts take no new requests. */
export type FollowerStanding = typeof followerStandings[number];

/** Follows the accepted configuration at one host. */
export type ConfigurationFollower = {
	/** Begins to follow; resolves after the first attempt to learn the version. */
	start: () => Promise<void>;
	stop: () => void;
	/** The version in force; its number never falls. */
	getCurrent: () => ConfigurationVersion | undefined;
	/** Calls back with each version that comes into force from now on. */
	onChange: (listener: ChangeListener) => void;
	/** Takes word that a host holds a version. */
	applyRumour: (host: HostId, version: number) => void;
	/** Whether the version was known to be the newest within the confirmation limit. */
	isConfirmed: () => boolean;
	getStanding: () => FollowerStanding;
	/** Answers the call of a peer. */
	readConfiguration: (from: HostId, message: {after: number}) => Promise<ConfigurationAnswer>;
};

/** Hosts that watch the service. */
const watcherCount = 2;
const backOffFactor = 2;

const getAnswer = (holder: Holder, after: number, now: Milliseconds): ConfigurationAnswer => {
	const {current, confirmedAt} = holder.getState();
	const answer: ConfigurationAnswer = {};
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

type Parts = {
	times: FollowerTimes;
	holder: Holder;
	contact: Contact;
	readService: ServiceReader;
	readPeer: PeerReader;
	getOwners: () => readonly HostId[];
};

const isHolderConfirmed = ({clock}: FollowerOptions, {holder, times}: Parts): boolean => {
	const {confirmedAt} = holder.getState();
	return confirmedAt !== undefined && clock.monotonic() - confirmedAt <= times.confirmationLimit;
};

const createExchangeLoop = (options: FollowerOptions, parts: Parts): Loop => {
	const {clock, random, metrics, getMembers, self} = options;
	const {times, holder, readPeer} = parts;
	return createLoop(clock, async () => {
		const peer = random.pick(getPeers(getMembers(), self));
		if (peer !== undefined) {
			applyReading(holder, await readPeer(peer.host));
		}

		metrics.setGauge('configuration_confirmed', isHolderConfirmed(options, parts) ? 1 : 0);

		return times.exchangeInterval * (0.5 + random.next());
	});
};

const createStartLoop = (options: FollowerOptions, parts: Parts, end: () => void): Loop => {
	const {clock, random, getMembers, self} = options;
	const {times, holder, readService, readPeer, getOwners} = parts;
	let delay = times.retryInterval;
	return createLoop(clock, async () => {
		const isLearned = await learnInitially({
			random,
			holder,
			readService,
			readPeer,
			getPeers: () => getPeers(getMembers(), self),
			getOwners,
			getHighestRumour: () => Math.max(0, ...getMembers().map(({configurationVersion}) => configurationVersion)),
		});
		if (isLearned) {
			end();
		}

		delay = Math.min(times.watchLimit, delay * backOffFactor);
		return delay * (0.5 + random.next());
	});
};

const createLoops = (options: FollowerOptions, parts: Parts): Loop[] => {
	const {clock, random, metrics, keyValue, getMembers, self} = options;
	const {times, holder, readService, getOwners, contact} = parts;
	const isWatcher = (): boolean => getOwners().includes(self);
	return [
		createWatchLoop({
			clock, metrics, keyValue, holder, contact, times, isWatcher,
		}),
		createPollLoop({
			clock, random, metrics, readService, getSize: () => getPeers(getMembers(), self).length + 1, spacing: times.pollSpacing,
		}),
		createExchangeLoop(options, parts),
	];
};

const createParts = (options: FollowerOptions): Parts => {
	const {clock, metrics, keyValue, peers, parse} = options;
	const times = {...defaultTimes, ...options.times};
	const holder = createHolder(parse, metrics);
	const contact = createContact(clock);
	return {
		times,
		holder,
		contact,
		readService: createServiceReader({
			clock, keyValue, holder, contact, limit: times.readLimit,
		}),
		readPeer: createPeerReader({
			clock, peers, holder, contact,
		}),
		getOwners: () => options.getOwners(currentKey, watcherCount),
	};
};

/**
Creates the follower of a host.
Few hosts watch the service, the others hear of a version from peers; a poll and an exchange with a random peer stand behind both.
*/
export const createConfigurationFollower = (options: FollowerOptions): ConfigurationFollower => {
	const {clock, random, metrics, getMembers, self} = options;
	const parts = createParts(options);
	const {times, holder, readPeer, contact} = parts;
	const loops = createLoops(options, parts);
	const rumours = createRumours({
		clock, random, metrics, holder, times, readPeer, getPeers: () => getPeers(getMembers(), self),
	});
	let isStarted = false;
	let hadPeers = false;

	const startLoop = createStartLoop(options, parts, () => {
		startLoop.stop();
		isStarted = true;
		for (const loop of loops) {
			loop.start(0);
		}
	});

	const isConfirmed = (): boolean => isHolderConfirmed(options, parts);

	const getStanding = (): FollowerStanding => {
		hadPeers ||= getMembers().some(({host}) => host !== self);
		if (getVersion(holder.getState()) === 0) {
			return 'none';
		}

		if (hadPeers && contact.getAge() > times.isolationLimit) {
			return 'isolated';
		}

		return isConfirmed() ? 'confirmed' : 'unconfirmed';
	};

	return {
		start: async () => startLoop.run(),
		stop() {
			startLoop.stop();
			rumours.stop();
			for (const loop of loops) {
				loop.stop();
			}
		},
		getCurrent: () => holder.getState().current,
		onChange: holder.onChange,
		applyRumour(host, version) {
			if (isStarted && host !== self) {
				rumours.apply(host, version);
			}
		},
		isConfirmed,
		getStanding,
		readConfiguration: async (_from, {after}) => getAnswer(holder, after, clock.monotonic()),
	};
};
